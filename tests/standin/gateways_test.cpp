// The gateways stand-in, against a node that does wrong on purpose: each fault is counted under its name.
#include "standin/gateways.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "proto/frames.h"
#include "standin/host.h"
#include "standin/pool.h"

namespace {

using namespace std::chrono_literals;
using namespace hingelink::standin;
namespace proto = hingelink::proto;
namespace net = hingelink::net;

// Accepts gateways and does with each request what the test wants.
class FakeNode {
 public:
  struct Connection {
    net::BufferPtr bev;
    FakeNode* node = nullptr;
    bool closed = false;

    void Answer(std::uint32_t stream, proto::AnswerCode code, const std::string& body,
                const proto::AnswerFields& fields = {}) const {
      net::Send(bev.get(), proto::EncodeAnswerHeader(stream, code, fields, body.size()));
      net::Send(bev.get(), body);
    }
    void Close() {
      closed = true;
      bufferevent_disable(bev.get(), EV_READ | EV_WRITE);
      evutil_closesocket(bufferevent_getfd(bev.get()));
      bufferevent_setfd(bev.get(), -1);
    }
  };
  using Take = std::function<void(Connection&, std::uint32_t stream, const proto::RequestFrame& request)>;

  FakeNode(event_base* base, Take take) : base_(base), take_(std::move(take)) {
    const sockaddr_in any = net::ParseAddress("127.0.0.1:0");
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<FakeNode*>(self)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE, 64, reinterpret_cast<const sockaddr*>(&any), sizeof any));
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(net::LocalPort(evconnlistener_get_fd(listener_.get())));
  }
  std::map<std::uint64_t, int> seen;  // By the tries' ids.
  std::vector<std::uint32_t> gone;
  std::size_t accepted = 0;

 private:
  void Accept(evutil_socket_t fd) {
    ++accepted;
    connections_.push_back(std::make_unique<Connection>());
    Connection& c = *connections_.back();
    c.node = this;
    c.bev.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        c.bev.get(), [](bufferevent*, void* self) { Read(*static_cast<Connection*>(self)); }, nullptr,
        [](bufferevent* bev, short, void*) { bufferevent_disable(bev, EV_READ | EV_WRITE); }, &c);
    bufferevent_enable(c.bev.get(), EV_READ | EV_WRITE);
  }
  static void Read(Connection& c) {
    while (!c.closed) {
      const std::string_view all = net::ReceivedBytes(c.bev.get());
      const auto head = proto::ParseFrameHeader(all);
      if (!head || all.size() < head->Size()) return;
      const std::string payload(
          all.substr(proto::kFrameHeaderBytes, head->Size() - proto::kFrameHeaderBytes));
      const auto type = head->type;
      const auto stream = head->stream;
      net::Consume(c.bev.get(), head->Size());
      if (type == 2) c.node->gone.push_back(stream);
      if (type != 0) continue;
      proto::RequestFrame request;
      EXPECT_EQ(proto::ParseRequest(payload, request), nullptr);
      ++c.node->seen[request.request_id];
      c.node->take_(c, stream, request);
    }
  }

  event_base* base_;
  Take take_;
  net::ListenerPtr listener_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

struct Story {
  explicit Story(std::vector<FakeNode::Take> takes, const std::function<void(GatewaysOptions&)>& with = {}) {
    host.Do([&] {
      GatewaysOptions options;
      for (auto& take : takes) {
        nodes.push_back(std::make_unique<FakeNode>(host.base(), std::move(take)));
        options.targets.push_back(nodes.back()->address());
      }
      ClassLoad load;
      load.name = "c";
      load.timeout = Millis(400);
      options.classes = {load};
      options.gateways = 1;
      options.rate = 200;
      options.length = Millis(200);
      if (with) with(options);
      gateways.emplace(host.base(), options);
    });
    for (bool idle = false; !idle;) {
      host.Do([&] { idle = gateways->idle(); });
      std::this_thread::sleep_for(2ms);
    }
    host.Do([&] { account = gateways->account(); });
    sum = account.Sum();
  }
  ~Story() {
    host.Do([this] {
      gateways.reset();
      nodes.clear();
    });
  }

  Host host;
  std::vector<std::unique_ptr<FakeNode>> nodes;
  std::optional<Gateways> gateways;
  Account account;
  ClassAccount sum;
};

std::string Right(const proto::RequestFrame& request) { return ResultOf(request.request_id, request.body); }
const FakeNode::Take kServe = [](FakeNode::Connection& c, std::uint32_t stream,
                                 const proto::RequestFrame& r) {
  c.Answer(stream, proto::AnswerCode::kServed, Right(r));
};

TEST(GatewaysStandin, CountsWhatIsRightAsRight) {
  const Story run({kServe});
  EXPECT_GT(run.sum.requests, 10u);
  EXPECT_EQ(run.sum.served, run.sum.requests);
  EXPECT_EQ(run.sum.good, run.sum.requests);
  EXPECT_EQ(run.sum.wrong + run.sum.twice + run.sum.late + run.sum.lost + run.sum.unanswered, 0u);
  EXPECT_EQ(run.account.waits.size(), run.sum.served);
}

TEST(GatewaysStandin, TellsAWrongResult) {
  const Story run({[](FakeNode::Connection& c, std::uint32_t stream, const proto::RequestFrame& r) {
    std::string body = Right(r);
    body[10] = body[10] == '0' ? '1' : '0';
    c.Answer(stream, proto::AnswerCode::kServed, body);
  }});
  EXPECT_EQ(run.sum.wrong, run.sum.served);
}

TEST(GatewaysStandin, TellsASecondAnswer) {
  const Story run({[](FakeNode::Connection& c, std::uint32_t stream, const proto::RequestFrame& r) {
    c.Answer(stream, proto::AnswerCode::kServed, Right(r));
    c.Answer(stream, proto::AnswerCode::kFailed, "");
  }});
  EXPECT_EQ(run.sum.twice, run.sum.served);
}

TEST(GatewaysStandin, TellsSilenceAndSaysThatItLeft) {
  const Story run({[](FakeNode::Connection&, std::uint32_t, const proto::RequestFrame&) {}});
  EXPECT_EQ(run.sum.unanswered, run.sum.tries);
  std::size_t gone = 0;
  // The last words may still be on their way.
  for (int i = 0; i < 2000 && gone < run.sum.tries; ++i) {
    const_cast<Host&>(run.host).Do([&] { gone = run.nodes[0]->gone.size(); });
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_EQ(gone, run.sum.tries);
}

TEST(GatewaysStandin, SendsARequestThatCrossedACloseOnceMoreAndNoFurther) {
  const Story run({[](FakeNode::Connection& c, std::uint32_t, const proto::RequestFrame&) { c.Close(); }},
                  [](GatewaysOptions& o) { o.rate = 20; });
  EXPECT_GT(run.account.resent, 0u);
  EXPECT_EQ(run.sum.lost, run.account.resent);
  EXPECT_EQ(run.sum.served, 0u);
}

TEST(GatewaysStandin, RetriesARefusalElsewhereAndAFailureOnlyWhereItMay) {
  const FakeNode::Take refuse = [](FakeNode::Connection& c, std::uint32_t stream,
                                   const proto::RequestFrame&) {
    c.Answer(stream, proto::AnswerCode::kRejected, "");
  };
  const FakeNode::Take fail = [](FakeNode::Connection& c, std::uint32_t stream, const proto::RequestFrame&) {
    c.Answer(stream, proto::AnswerCode::kFailed, "");
  };
  const Story refused({refuse, kServe}, [](GatewaysOptions& o) { o.retries = 1; });
  EXPECT_EQ(refused.sum.good, refused.sum.requests);
  EXPECT_GT(refused.sum.refused, 0u);
  const Story writes({fail, fail}, [](GatewaysOptions& o) {
    o.retries = 1;
    o.classes[0].repeats = false;
  });
  EXPECT_EQ(writes.sum.tries, writes.sum.requests);
  const Story reads({fail, fail}, [](GatewaysOptions& o) { o.retries = 1; });
  EXPECT_GT(reads.sum.tries, reads.sum.requests);
  // No try's id is ever used twice.
  for (const auto& node : reads.nodes) {
    for (const auto& [req, times] : node->seen) EXPECT_EQ(times, 1);
  }
}

TEST(GatewaysStandin, HeedsAdviceWhereItIsSetTo) {
  const FakeNode::Take away = [](FakeNode::Connection& c, std::uint32_t stream, const proto::RequestFrame&) {
    proto::AnswerFields fields;
    fields.retry_after = 60'000ms;
    c.Answer(stream, proto::AnswerCode::kRejected, "", fields);
  };
  const Story heeds({away});
  EXPECT_EQ(heeds.sum.tries, heeds.sum.refused);
  EXPECT_LT(heeds.sum.tries, heeds.sum.requests);
  EXPECT_EQ(heeds.sum.tries + heeds.sum.not_sent, heeds.sum.requests);
  const Story deaf({away}, [](GatewaysOptions& o) { o.heeds = 0; });
  EXPECT_EQ(deaf.sum.tries, deaf.sum.requests);
}

TEST(GatewaysStandin, HeedsTheSignalInEachOfItsMeanings) {
  const auto told = [](double value) {
    return [value](FakeNode::Connection& c, std::uint32_t stream, const proto::RequestFrame& r) {
      proto::AnswerFields fields;
      fields.load_signal = value;
      c.Answer(stream, proto::AnswerCode::kServed, Right(r), fields);
    };
  };
  const auto with = [](GatewaysOptions::Signal signal) {
    return [signal](GatewaysOptions& o) {
      o.signal = signal;
      o.rate = 1000;
    };
  };
  const auto part = [](const Story& run) {
    return static_cast<double>(run.sum.tries) / static_cast<double>(run.sum.requests);
  };
  EXPECT_NEAR(part(Story({told(0.7)}, with(GatewaysOptions::Signal::kThreshold))), 0.3, 0.15);
  EXPECT_NEAR(part(Story({told(0.7)}, with(GatewaysOptions::Signal::kAcceptProbability))), 0.7, 0.15);
  EXPECT_EQ(part(Story({told(0.7)}, with(GatewaysOptions::Signal::kIgnored))), 1.0);
  // A node that tells a window of 2 and then falls silent: no more than what is open when it is heard go out.
  int answered = 0;
  const Story window({[&](FakeNode::Connection& c, std::uint32_t stream, const proto::RequestFrame& r) {
                       if (answered++ > 0) return;
                       proto::AnswerFields fields;
                       fields.load_signal = 2;
                       c.Answer(stream, proto::AnswerCode::kServed, Right(r), fields);
                     }},
                     [](GatewaysOptions& o) {
                       o.signal = GatewaysOptions::Signal::kWindow;
                       o.rate = 100;
                     });
  EXPECT_LE(window.sum.tries, 6u);
  EXPECT_GT(window.sum.not_sent, 5u);
}

TEST(GatewaysStandin, ResetsOfItsOwnAreNoFaultOfTheNode) {
  const Story run({kServe}, [](GatewaysOptions& o) {
    o.resets = 0.3;
    o.rate = 1000;
  });
  EXPECT_GT(run.account.connections, 5u);
  EXPECT_EQ(run.sum.lost + run.sum.unanswered + run.sum.twice, 0u);
  EXPECT_EQ(run.sum.served + run.sum.cut, run.sum.tries);
}

TEST(GatewaysStandin, HasAtMostThirtyTwoOpenOnAConnection) {
  int most = 0;
  std::map<const FakeNode::Connection*, int> open;
  const Story run({[&](FakeNode::Connection& c, std::uint32_t, const proto::RequestFrame&) {
                    most = std::max(most, ++open[&c]);
                  }},
                  [](GatewaysOptions& o) {
                    o.rate = 2000;
                    o.most_connections = 2;
                  });
  EXPECT_EQ(most, 32);
  EXPECT_EQ(run.nodes[0]->accepted, 2u);
  EXPECT_GT(run.sum.not_sent, 0u);
}

// The schedule never waits for answers: as many come due whether they are answered or not.
TEST(GatewaysStandin, ItsLoopIsOpen) {
  const auto with = [](GatewaysOptions& o) { o.length = Millis(300); };
  const Story served({kServe}, with);
  const Story silent({[](FakeNode::Connection&, std::uint32_t, const proto::RequestFrame&) {}}, with);
  EXPECT_NEAR(static_cast<double>(served.sum.requests), static_cast<double>(silent.sum.requests), 8);
}

}  // namespace
