// Tests connections on several event loops. The test takes the place of the node's decisions: it answers the
// requests and moves the connections.
#include <gtest/gtest.h>
#include <sched.h>

#include <atomic>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "log/log.h"
#include "loop_rig.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using peers::Frame;
using peers::Gateway;

TEST(LoopGroup, AMovedConnectionKeepsItsOpenRequests) {
  Rig rig(2);
  rig.RunOnNodeThread([&] { rig.hold_answers = true; });
  Gateway gateway(rig.port);
  for (std::uint32_t stream = 1; stream <= 32; ++stream) gateway.Write(Request(stream, stream));
  ASSERT_TRUE(rig.Await([&] { return rig.unanswered.size() == 32; }));
  const std::uint64_t id = rig.received.front().connection;
  const std::size_t from = id >> 56;
  rig.RunOnNodeThread([&] {
    rig.group->BeginMove({id, from, 1 - from});
    // These answers are delivered while the connection is being moved.
    for (std::size_t i = 0; i < 10; ++i)
      rig.group->Deliver(rig.unanswered[i].first, core::Served(rig.unanswered[i].second));
    rig.unanswered.erase(rig.unanswered.begin(), rig.unanswered.begin() + 10);
  });
  for (std::uint32_t stream = 1; stream <= 10; ++stream) {
    EXPECT_EQ(gateway.ReadAnswer(stream, 0).body, "body " + std::to_string(stream));
  }
  ASSERT_TRUE(rig.Await([&] { return rig.group->Loops()[1 - from].connections == 1; }));
  // The gateway cancels a request after the move; the new loop reports the cancellation.
  gateway.Write(Gateway::Encode(2, 11, ""));
  ASSERT_TRUE(rig.Await([&] { return rig.disconnected_count == 1; }));
  // The limit on open requests counts the requests from before the move.
  for (std::uint32_t stream = 40; stream <= 50; ++stream) gateway.Write(Request(stream, stream));
  ASSERT_TRUE(rig.Await([&] { return rig.unanswered.size() == 32; }));
  gateway.Write(Request(51, 51));
  gateway.ReadAnswer(51, 1);
  rig.AnswerAll();
  for (std::uint32_t stream = 12; stream <= 32; ++stream) gateway.ReadAnswer(stream, 0);
  for (std::uint32_t stream = 40; stream <= 50; ++stream) gateway.ReadAnswer(stream, 0);
  EXPECT_EQ(rig.served_count(), 42u);
}

// Many connections send requests and are moved. The order depends on the seed and on thread scheduling.
TEST(LoopGroup, EachRequestIsAnsweredOnceWhileConnectionsMove) {
  Rig rig(3);
  std::mt19937_64 draw(20261201);
  std::vector<Gateway> gateways;
  for (int i = 0; i < 24; ++i) gateways.emplace_back(rig.port);
  std::vector<std::uint32_t> streams(gateways.size());
  std::uint64_t number = 0;
  for (int round = 0; round < 60; ++round) {
    std::map<std::pair<std::size_t, std::uint32_t>, std::string> expected;
    for (std::size_t g = 0; g < gateways.size(); ++g) {
      std::string frames;
      for (std::uint64_t count = draw() % 5; count > 0; --count) {
        expected[{g, ++streams[g]}] = "body " + std::to_string(++number);
        frames += Request(streams[g], number);
      }
      if (draw() % 4 == 0 && frames.size() > 40) {
        // Sent in two pieces, so that the connection may be asked to move in the middle of a frame.
        gateways[g].Write(frames.substr(0, frames.size() - 30));
        rig.RunOnNodeThread([&] {
          if (!rig.received.empty())
            rig.group->BeginMove({rig.received[draw() % rig.received.size()].connection, 0, draw() % 3});
        });
        gateways[g].Write(frames.substr(frames.size() - 30));
      } else {
        gateways[g].Write(frames);
      }
    }
    rig.RunOnNodeThread([&] {
      for (int i = 0; i < 6 && !rig.received.empty(); ++i) {
        rig.group->BeginMove({rig.received[draw() % rig.received.size()].connection, 0, draw() % 3});
      }
    });
    for (const auto& [at, body] : expected) {
      const Frame frame = gateways[at.first].Read();
      ASSERT_EQ(frame.type, 1);
      ASSERT_EQ(frame.code, 0);
      const auto it = expected.find({at.first, frame.stream});
      ASSERT_NE(it, expected.end());
      EXPECT_EQ(frame.body, it->second);
    }
  }
  std::uint64_t moved = 0;
  for (const auto& loop : rig.Loops()) moved += loop.connections_received;
  EXPECT_GT(moved, 20u);
  EXPECT_EQ(rig.served_count(), number);
}

TEST(LoopGroup, ConnectionClosedDuringAMoveLeavesNoAnswersBehind) {
  Rig rig(2);
  rig.RunOnNodeThread([&] { rig.hold_answers = true; });
  auto gateway = std::make_unique<Gateway>(rig.port);
  gateway->Write(Request(1, 1));
  ASSERT_TRUE(rig.Await([&] { return rig.unanswered.size() == 1; }));
  const std::uint64_t id = rig.received.front().connection;
  Gate gate;
  rig.StallLoop(id >> 56, gate);
  rig.RunOnNodeThread([&] {
    rig.group->BeginMove({id, id >> 56, 1 - (id >> 56)});
    rig.group->Deliver(rig.unanswered[0].first, core::Served("late"));
  });
  gateway.reset();
  gate.Open();
  EXPECT_TRUE(rig.Await([&] { return rig.group->connections() == 0; }));
  // An answer that is still held for the closed connection would block the shutdown of the process.
  rig.RunOnNodeThread([&] { rig.group->StopNewRequests(); });
  EXPECT_TRUE(rig.Await([&] { return rig.group->AllSent(); }));
}

TEST(LoopGroup, StalledLoopIsLoggedAndOtherLoopsServe) {
  log::Options log;
  log.recent = 64;
  log::Configure(log);
  Rig rig(2);
  Gate gate;
  rig.StallLoop(1, gate);
  ASSERT_TRUE(rig.Await([&] { return rig.group->Loops()[1].stalled; }));
  // New connections are assigned only to the other loop.
  std::vector<Gateway> gateways;
  for (int i = 0; i < 6; ++i) {
    gateways.emplace_back(rig.port);
    gateways.back().Write(Request(1, static_cast<std::uint64_t>(i)));
    gateways.back().ReadAnswer(1, 0);
  }
  EXPECT_EQ(rig.Loops()[0].connections, 6u);
  const auto was_logged = [](const std::string& text) {
    for (const std::string& line : log::RecentLines()) {
      if (line.find(text) != std::string::npos) return true;
    }
    return false;
  };
  EXPECT_TRUE(rig.Await([&] { return was_logged("loop-hangs loop=2"); }));
  EXPECT_TRUE(rig.Await([&] { return was_logged("loop-stack loop=2 frames="); }));
  // The stalled loop receives the new classes when it recovers.
  rig.RunOnNodeThread([&] { rig.group->ClassesChanged(); });
  gate.Open();
  EXPECT_TRUE(rig.Await([&] { return !rig.group->Loops()[1].stalled; }));
  EXPECT_TRUE(was_logged("loop-recovered loop=2"));
}

TEST(LoopGroup, ConnectionsOfABusyGatewayMoveAwayFromAnOverloadedLoop) {
  // A small minimum gap, so that connections also move if other programs leave this one little CPU time.
  Rig rig(2, 1000, 0.005);
  std::vector<Gateway> gateways;
  {
    // All connections are opened while the other loop is stalled.
    Gate gate;
    rig.StallLoop(1, gate);
    ASSERT_TRUE(rig.Await([&] { return rig.group->Loops()[1].stalled; }));
    for (int i = 0; i < 100; ++i) gateways.emplace_back(rig.port);
    ASSERT_TRUE(rig.Await([&] { return rig.group->connections() == 100; }));
    EXPECT_EQ(rig.Loops()[0].connections, 100u);
    gate.Open();
    ASSERT_TRUE(rig.Await([&] { return !rig.group->Loops()[1].stalled; }));
  }
  std::uint64_t number = 0;
  std::uint32_t stream = 0;
  const auto end = Steady::now() + 40s;
  do {
    for (Gateway& gateway : gateways) {
      std::string frames;
      for (std::uint32_t i = 1; i <= 32; ++i) frames += Request(stream + i, ++number);
      gateway.Write(frames);
    }
    for (Gateway& gateway : gateways) {
      for (std::uint32_t i = 1; i <= 32; ++i) gateway.ReadAnswer(stream + i, 0);
    }
    stream += 32;
  } while (rig.Loops()[1].connections < 20 && Steady::now() < end);
  const auto loops = rig.Loops();
  EXPECT_GE(loops[1].connections, 20u);
  EXPECT_EQ(loops[0].connections + loops[1].connections, 100u);
  EXPECT_EQ(rig.served_count(), number);
}

TEST(LoopGroup, FullMessageQueueStopsReadingWithoutLosingRequests) {
  Rig rig(1);
  // The node thread is blocked while the gateways send far more requests than the queue holds: 32 on each of
  // 300 connections.
  std::vector<Gateway> gateways;
  for (int i = 0; i < 300; ++i) gateways.emplace_back(rig.port);
  ASSERT_TRUE(rig.Await([&] { return rig.group->connections() == 300; }));
  Gate gate;
  std::size_t pending_messages = 0;
  std::thread blocked([&] {
    rig.RunOnNodeThread([&] {
      gate.Wait();
      pending_messages = rig.group->Loops()[0].pending_messages;
    });
  });
  gate.AwaitWaiter();
  std::uint64_t number = 0;
  for (Gateway& gateway : gateways) {
    std::string frames;
    for (std::uint32_t stream = 1; stream <= 32; ++stream) frames += Request(stream, ++number);
    gateway.Write(frames);
  }
  // Waits until the loop has sent several heartbeats with a full queue, for longer than the interval of its
  // reports. The remaining requests then wait in the sockets.
  const auto wait_until = [&](const std::function<bool()>& holds) {
    for (const auto end = Steady::now() + 40s; !holds() && Steady::now() < end;)
      std::this_thread::sleep_for(1ms);
  };
  wait_until([&] { return rig.group->Loops()[0].pending_messages >= 4096; });
  const std::uint64_t heartbeats_before = rig.group->Loops()[0].heartbeats;
  wait_until([&] { return rig.group->Loops()[0].heartbeats > heartbeats_before + 16; });
  gate.Open();
  blocked.join();
  EXPECT_GE(pending_messages, 4096u);
  EXPECT_LE(pending_messages, 4096u + 1);
  for (Gateway& gateway : gateways) {
    for (std::uint32_t stream = 1; stream <= 32; ++stream) gateway.ReadAnswer(stream, 0);
  }
  EXPECT_EQ(rig.served_count(), 9600u);
}

TEST(LoopGroup, QueuedRequestOfARemovedClassIsRejectedAndCounted) {
  Rig rig(2);
  Gateway gateway(rig.port);
  gateway.Write(Request(1, 1));
  gateway.ReadAnswer(1, 0);
  Gate gate;
  std::thread blocked([&] {
    rig.RunOnNodeThread([&] {
      gate.Wait();
      // The class is removed while the request waits in the message queue.
      rig.class_removed = true;
      rig.group->ClassesChanged();
    });
  });
  gate.AwaitWaiter();
  // The loop answers the health check without the node thread. The request sent before the check is then in
  // the message queue.
  gateway.Write(Request(2, 2) + Gateway::Encode(6, 9, std::string(1, '\0')));
  EXPECT_EQ(gateway.Read().type, 7);
  gate.Open();
  blocked.join();
  gateway.ReadAnswer(2, 1);
  EXPECT_EQ(rig.rejected_count(), 1u);
  // Later requests have no class. They are rejected and not counted.
  gateway.Write(Request(3, 3));
  gateway.ReadAnswer(3, 1);
  EXPECT_EQ(rig.rejected_count(), 1u);
}

TEST(LoopGroup, FloodOfMalformedFramesDoesNotDelayOtherConnections) {
  Rig rig(2);
  Gateway good(rig.port);
  good.Write(Request(1, 1));
  good.ReadAnswer(1, 0);
  std::atomic<bool> over{false};
  std::thread flood([&] {
    // The first byte is malformed already, so the node closes each of these connections.
    while (!over) {
      Gateway bad(rig.port);
      bad.Write(std::string(64, '\xff'));
      bad.socket().ReadToEnd();
    }
  });
  for (std::uint32_t stream = 2; stream < 200; ++stream) {
    good.Write(Request(stream, stream));
    good.ReadAnswer(stream, 0);
  }
  over = true;
  flood.join();
}

TEST(LoopGroup, MoreLoopsThanCpusServeAndMoveConnections) {
  Rig rig(6);
  // All loops run on one CPU, the first that this process may use, as with --pin on a machine with too few
  // CPUs.
  cpu_set_t allowed;
  ASSERT_EQ(sched_getaffinity(0, sizeof allowed, &allowed), 0);
  unsigned cpu = 0;
  while (!CPU_ISSET(cpu, &allowed)) ++cpu;
  rig.RunOnNodeThread([&] {
    for (std::size_t loop = 0; loop < 6; ++loop) EXPECT_TRUE(rig.group->PinLoopToCpus(loop, {cpu}));
  });
  std::vector<Gateway> gateways;
  for (int i = 0; i < 24; ++i) gateways.emplace_back(rig.port);
  std::uint64_t number = 0;
  for (std::uint32_t stream = 1; stream <= 10; ++stream) {
    for (Gateway& gateway : gateways) gateway.Write(Request(stream, ++number));
    rig.RunOnNodeThread([&] {
      if (!rig.received.empty()) rig.group->BeginMove({rig.received.back().connection, 0, stream % 6});
    });
    for (Gateway& gateway : gateways) gateway.ReadAnswer(stream, 0);
  }
  EXPECT_EQ(rig.served_count(), 240u);
  rig.RunOnNodeThread([&] {
    rig.group->StopNewRequests();
    rig.group->StopReading();
  });
  EXPECT_TRUE(rig.Await([&] { return rig.group->AllSent(); }));
}

TEST(LoopGroup, AllReceivedRequestsAreAnsweredBeforeShutdown) {
  Rig rig(3);
  rig.RunOnNodeThread([&] { rig.hold_answers = true; });
  std::vector<Gateway> gateways;
  for (int i = 0; i < 30; ++i) {
    gateways.emplace_back(rig.port);
    gateways.back().Write(Request(1, static_cast<std::uint64_t>(i)));
  }
  ASSERT_TRUE(rig.Await([&] { return rig.unanswered.size() == 30; }));
  rig.RunOnNodeThread([&] {
    rig.group->StopNewRequests();
    for (const core::StreamAddress& to : rig.received)
      rig.group->BeginMove({to.connection, 0, (to.connection >> 56) == 0 ? 1u : 0u});
    rig.group->StopReading();
    EXPECT_FALSE(rig.group->AllSent());
  });
  rig.AnswerAll();
  ASSERT_TRUE(rig.Await([&] { return rig.group->AllSent(); }));
  for (Gateway& gateway : gateways) {
    EXPECT_EQ(gateway.Read().type, 9);
    EXPECT_EQ(gateway.Read().code, 0);
  }
  // Requests that arrive now are not read.
  gateways[0].Write(Request(2, 100));
  EXPECT_EQ(rig.received.size(), 30u);
}

}  // namespace
}  // namespace hingelink::net
