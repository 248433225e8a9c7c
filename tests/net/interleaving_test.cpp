// Requests, answers, moves, reloads, drains and ends in orders that the library draws: each request gets one
// answer, or at most one where its caller gave it up. And 100,000 connections that come and go in bounded
// memory.
#include <dirent.h>
#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <thread>

#include "loop_rig.h"

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Of the sanitizers' public interface; the compiler's package has no header for it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using peers::Frame;
using peers::Gateway;

constexpr std::size_t kLoops = 3, kMostGateways = 6, kMostOpen = 32;

enum class Kind {
  kConnect,
  kSend,
  kSendPart,  // A frame whose end comes before the next one, or at the end.
  kMove,
  kAnswer,
  kTakeBack,  // Type 2, for an open request.
  kReload,    // The class is dropped, or is back.
  kDrain,
  kServeAgain,
  kClose,
  kCount
};
struct Op {
  Kind kind = Kind::kConnect;
  std::uint32_t which = 0, count = 0;
};
std::ostream& operator<<(std::ostream& out, const Op& op) {
  return out << static_cast<int>(op.kind) << ':' << op.which << ':' << op.count;
}

rc::Gen<Op> AnyOp() {
  return rc::gen::apply(
      [](int kind, std::uint32_t which, std::uint32_t count) {
        return Op{static_cast<Kind>(kind), which, count};
      },
      rc::gen::weightedElement<int>(
          {{2, 0}, {8, 1}, {4, 2}, {8, 3}, {6, 4}, {3, 5}, {2, 6}, {1, 7}, {1, 8}, {1, 9}}),
      rc::gen::inRange<std::uint32_t>(0, 1000), rc::gen::inRange<std::uint32_t>(1, 6));
}

struct Peer {
  enum class Fate { kOpen, kTakenBack, kAnswered };
  std::unique_ptr<Gateway> gateway;
  std::uint32_t last_stream = 0;
  std::map<std::uint32_t, std::pair<Fate, std::string>> requests;  // By stream; with the body.
  std::string rest;                                                // Of a frame that was sent in part.

  std::size_t open() const {
    std::size_t count = 0;
    for (const auto& [stream, request] : requests) count += request.first == Fate::kOpen ? 1 : 0;
    return count;
  }
  void Flush() {
    if (!rest.empty()) gateway->Write(std::exchange(rest, {}));
  }
  // One frame that the node sent.
  void Take(const Frame& frame) {
    if (frame.type == 9) return;
    RC_ASSERT(frame.type == 1);
    const auto request = requests.find(frame.stream);
    RC_ASSERT(request != requests.end());
    RC_ASSERT(request->second.first != Fate::kAnswered);
    request->second.first = Fate::kAnswered;
    RC_ASSERT(frame.code == 0 || frame.code == 1);
    if (frame.code == 0) RC_ASSERT(frame.body == request->second.second);
  }
};

void Play(const std::vector<Op>& ops) {
  Rig rig(kLoops);
  rig.Do([&] { rig.hold = true; });
  std::vector<Peer> peers;
  std::uint64_t number = 0;
  std::size_t moves = 0;
  const auto frame = [&number](Peer& peer) {
    const std::uint32_t stream = ++peer.last_stream;
    peer.requests[stream] = {Peer::Fate::kOpen, "body " + std::to_string(++number)};
    return Request(stream, number);
  };
  for (const Op& op : ops) {
    Peer* peer = peers.empty() ? nullptr : &peers[op.which % peers.size()];
    switch (op.kind) {
      case Kind::kConnect:
        if (peers.size() < kMostGateways) peers.emplace_back().gateway = std::make_unique<Gateway>(rig.port);
        break;
      case Kind::kSend:
        if (peer == nullptr) break;
        peer->Flush();
        for (std::uint32_t i = 0; i < op.count && peer->open() < kMostOpen; ++i)
          peer->gateway->Write(frame(*peer));
        break;
      case Kind::kSendPart: {
        if (peer == nullptr || peer->open() >= kMostOpen) break;
        peer->Flush();
        const std::string bytes = frame(*peer);
        const std::size_t cut = 1 + op.which % (bytes.size() - 1);
        peer->gateway->Write(bytes.substr(0, cut));
        peer->rest = bytes.substr(cut);
        break;
      }
      case Kind::kMove:
        rig.Do([&] {
          if (rig.came.empty()) return;
          rig.group->Move({rig.came[op.which % rig.came.size()].connection, 0, op.count % kLoops});
          ++moves;
        });
        break;
      case Kind::kAnswer:
        rig.Do([&] {
          for (std::uint32_t i = 0; i < op.count && !rig.held.empty(); ++i) {
            const auto at = rig.held.begin() + static_cast<std::ptrdiff_t>(op.which % rig.held.size());
            const auto [to, body] = *at;
            rig.held.erase(at);
            rig.group->Deliver(to, core::Served(body));
          }
        });
        break;
      case Kind::kTakeBack:
        if (peer == nullptr) break;
        peer->Flush();
        for (auto& [stream, request] : peer->requests) {
          if (request.first != Peer::Fate::kOpen) continue;
          request.first = Peer::Fate::kTakenBack;
          peer->gateway->Write(Gateway::Encode(2, stream, ""));
          break;
        }
        break;
      case Kind::kReload:
        rig.Do([&] {
          rig.dropped = !rig.dropped;
          rig.group->ClassesChanged();
        });
        break;
      case Kind::kDrain:
        rig.Do([&] { rig.group->StopNewRequests(); });
        break;
      case Kind::kServeAgain:
        rig.Do([&] { rig.group->ResumeListening(); });
        break;
      case Kind::kClose:
        if (peer != nullptr)
          peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(op.which % peers.size()));
        break;
      case Kind::kCount:
        break;
    }
  }
  // What was read is answered at once from here on.
  for (Peer& peer : peers) peer.Flush();
  rig.Do([&] { rig.hold = false; });
  rig.AnswerAll();
  for (Peer& peer : peers) {
    while (peer.open() > 0) peer.Take(peer.gateway->Read());
  }
  // Each stands, and owes nothing more: an answer too many would come before the one to a health check on the
  // loop that has the connection.
  RC_ASSERT(rig.Await([&] { return rig.held.empty() && rig.group->connections() == peers.size(); }));
  rig.Do([&] { rig.group->StopNewRequests(); });
  RC_ASSERT(rig.Await([&] { return rig.group->AllSent(); }));
  for (Peer& peer : peers) {
    peer.gateway->Write(Gateway::Encode(6, peer.last_stream + 1, std::string(1, '\0')));
    for (Frame got; (got = peer.gateway->Read()).type != 7;) peer.Take(got);
  }
  std::uint64_t taken = 0;
  for (const auto& loop : rig.Loops()) taken += loop.connections_received;
  RC_ASSERT(taken <= moves);
  RC_TAG(taken == 0 ? "no move" : "moves");
}

RC_GTEST_PROP(Interleaving, EachRequestGetsOneAnswer, ()) {
  Play(*rc::gen::container<std::vector<Op>>(AnyOp()));
}

// Long orders, which the ones above seldom are.
RC_GTEST_PROP(Interleaving, EachOfManyRequestsGetsOneAnswer, ()) {
  Play(*rc::gen::container<std::vector<Op>>(300, AnyOp()));
}

std::size_t HeapInUse() {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  return __sanitizer_get_current_allocated_bytes();
#else
  return mallinfo2().uordblks + mallinfo2().hblkhd;
#endif
}

std::size_t OpenDescriptors() {
  std::size_t count = 0;
  DIR* folder = opendir("/proc/self/fd");
  while (readdir(folder) != nullptr) ++count;
  closedir(folder);
  return count;
}

TEST(Churn, AHundredThousandConnectionsLeaveNothingBehind) {
  constexpr int kClients = 25, kRounds = 10, kEach = 400;
  Rig rig(kLoops);
  // These stay, and are moved to and fro meanwhile.
  std::vector<Gateway> staying;
  for (std::uint64_t i = 0; i < 8; ++i) {
    staying.emplace_back(rig.port);
    staying.back().Write(Request(1, i));
    staying.back().ReadAnswer(1, 0);
  }
  std::vector<std::uint64_t> ids;
  rig.Do([&] {
    for (const core::StreamAddress& to : rig.came) ids.push_back(to.connection);
    rig.came.clear();
    rig.came.reserve(kClients * kEach);  // The test's own list, of one round.
  });
  std::size_t first_heap = 0, first_descriptors = 0, most_heap = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&rig, client, round] {
        std::uint64_t number =
            (static_cast<std::uint64_t>(client) << 32) + 1'000'000u * static_cast<unsigned>(round);
        for (int i = 0; i < kEach; ++i) {
          Gateway gateway(rig.port);
          gateway.Write(Request(1, ++number));
          // Some leave in the middle: of their request, or of its answer.
          if (i % 10 != 0) gateway.ReadAnswer(1, 0);
          // Most reset, which leaves the port free for the next one.
          if (i % 8 != 0) gateway.socket().Reset();
        }
      });
    }
    for (std::size_t i = 0; i < ids.size(); ++i) {
      rig.Do([&] { rig.group->Move({ids[i], 0, (static_cast<std::size_t>(round) + i) % kLoops}); });
    }
    for (std::thread& client : clients) client.join();
    ASSERT_TRUE(rig.Await([&] { return rig.group->connections() == staying.size(); }));
    rig.Do([&] { rig.came.clear(); });
    const std::size_t heap = HeapInUse();
    if (round == 0) {
      first_heap = heap;
      first_descriptors = OpenDescriptors();
    }
    most_heap = std::max(most_heap, heap);
  }
  // Nine times as many connections later: less than 5 bytes for each of them.
  EXPECT_LE(most_heap, first_heap + 400'000);
  EXPECT_LE(OpenDescriptors(), first_descriptors + 2);
  // Those that stayed have lost nothing on their ways.
  for (std::uint64_t i = 0; i < staying.size(); ++i) {
    staying[i].Write(Request(2, 100 + i));
    staying[i].ReadAnswer(2, 0);
  }
}

}  // namespace
}  // namespace hingelink::net
