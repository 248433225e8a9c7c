// Stories of connections on several loops. The decisions are played by the test: it answers requests as it
// likes, and has connections moved. Counts come from the clients.
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
  rig.Do([&] { rig.hold = true; });
  Gateway gateway(rig.port);
  for (std::uint32_t stream = 1; stream <= 32; ++stream) gateway.Write(Request(stream, stream));
  ASSERT_TRUE(rig.Await([&] { return rig.held.size() == 32; }));
  const std::uint64_t id = rig.came.front().connection;
  const std::size_t from = id >> 56;
  rig.Do([&] {
    rig.group->Move({id, from, 1 - from});
    // Given while it is on its way.
    for (std::size_t i = 0; i < 10; ++i)
      rig.group->Deliver(rig.held[i].first, core::Served(rig.held[i].second));
    rig.held.erase(rig.held.begin(), rig.held.begin() + 10);
  });
  for (std::uint32_t stream = 1; stream <= 10; ++stream) {
    EXPECT_EQ(gateway.ReadAnswer(stream, 0).body, "body " + std::to_string(stream));
  }
  ASSERT_TRUE(rig.Await([&] { return rig.group->Loops()[1 - from].connections == 1; }));
  // Taken back, from its new loop.
  gateway.Write(Gateway::Encode(2, 11, ""));
  ASSERT_TRUE(rig.Await([&] { return rig.gone == 1; }));
  // The limit of open requests has moved with it.
  for (std::uint32_t stream = 40; stream <= 50; ++stream) gateway.Write(Request(stream, stream));
  ASSERT_TRUE(rig.Await([&] { return rig.held.size() == 32; }));
  gateway.Write(Request(51, 51));
  gateway.ReadAnswer(51, 1);
  rig.AnswerAll();
  for (std::uint32_t stream = 12; stream <= 32; ++stream) gateway.ReadAnswer(stream, 0);
  for (std::uint32_t stream = 40; stream <= 50; ++stream) gateway.ReadAnswer(stream, 0);
  EXPECT_EQ(rig.counted(), 42u);
}

// Requests, ends and moves of many connections, in an order that the seed and the threads make.
TEST(LoopGroup, OneAnswerEachWhileConnectionsMove) {
  Rig rig(3);
  std::mt19937_64 draw(20261201);
  std::vector<Gateway> gateways;
  for (int i = 0; i < 24; ++i) gateways.emplace_back(rig.port);
  std::vector<std::uint32_t> streams(gateways.size());
  std::uint64_t number = 0;
  for (int round = 0; round < 60; ++round) {
    std::map<std::pair<std::size_t, std::uint32_t>, std::string> due;
    for (std::size_t g = 0; g < gateways.size(); ++g) {
      std::string frames;
      for (std::uint64_t count = draw() % 5; count > 0; --count) {
        due[{g, ++streams[g]}] = "body " + std::to_string(++number);
        frames += Request(streams[g], number);
      }
      if (draw() % 4 == 0 && frames.size() > 40) {
        // In two pieces, so that it may be asked to move within a frame.
        gateways[g].Write(frames.substr(0, frames.size() - 30));
        rig.Do([&] {
          if (!rig.came.empty())
            rig.group->Move({rig.came[draw() % rig.came.size()].connection, 0, draw() % 3});
        });
        gateways[g].Write(frames.substr(frames.size() - 30));
      } else {
        gateways[g].Write(frames);
      }
    }
    rig.Do([&] {
      for (int i = 0; i < 6 && !rig.came.empty(); ++i) {
        rig.group->Move({rig.came[draw() % rig.came.size()].connection, 0, draw() % 3});
      }
    });
    for (const auto& [at, body] : due) {
      const Frame frame = gateways[at.first].Read();
      ASSERT_EQ(frame.type, 1);
      ASSERT_EQ(frame.code, 0);
      const auto it = due.find({at.first, frame.stream});
      ASSERT_NE(it, due.end());
      EXPECT_EQ(frame.body, it->second);
    }
  }
  std::uint64_t taken = 0;
  for (const auto& loop : rig.Loops()) taken += loop.connections_received;
  EXPECT_GT(taken, 20u);
  EXPECT_EQ(rig.counted(), number);
}

TEST(LoopGroup, AConnectionThatEndsOnItsWayLeavesNothingBehind) {
  Rig rig(2);
  rig.Do([&] { rig.hold = true; });
  auto gateway = std::make_unique<Gateway>(rig.port);
  gateway->Write(Request(1, 1));
  ASSERT_TRUE(rig.Await([&] { return rig.held.size() == 1; }));
  const std::uint64_t id = rig.came.front().connection;
  Gate gate;
  rig.Hang(id >> 56, gate);
  rig.Do([&] {
    rig.group->Move({id, id >> 56, 1 - (id >> 56)});
    rig.group->Deliver(rig.held[0].first, core::Served("late"));
  });
  gateway.reset();
  gate.Open();
  EXPECT_TRUE(rig.Await([&] { return rig.group->connections() == 0; }));
  // Nor an answer that waits for it: that would hold up the end of the process.
  rig.Do([&] { rig.group->StopNewRequests(); });
  EXPECT_TRUE(rig.Await([&] { return rig.group->AllSent(); }));
}

TEST(LoopGroup, ALoopThatHangsIsNamedAndTheOthersServe) {
  log::Options log;
  log.recent = 64;
  log::Configure(log);
  Rig rig(2);
  Gate gate;
  rig.Hang(1, gate);
  ASSERT_TRUE(rig.Await([&] { return rig.group->Loops()[1].stalled; }));
  // Connections come to the other one only.
  std::vector<Gateway> gateways;
  for (int i = 0; i < 6; ++i) {
    gateways.emplace_back(rig.port);
    gateways.back().Write(Request(1, static_cast<std::uint64_t>(i)));
    gateways.back().ReadAnswer(1, 0);
  }
  EXPECT_EQ(rig.Loops()[0].connections, 6u);
  const auto said = [](const std::string& what) {
    for (const std::string& line : log::RecentLines()) {
      if (line.find(what) != std::string::npos) return true;
    }
    return false;
  };
  EXPECT_TRUE(rig.Await([&] { return said("loop-hangs loop=2"); }));
  EXPECT_TRUE(rig.Await([&] { return said("loop-stack loop=2 frames="); }));
  // New classes reach it when it goes on.
  rig.Do([&] { rig.group->ClassesChanged(); });
  gate.Open();
  EXPECT_TRUE(rig.Await([&] { return !rig.group->Loops()[1].stalled; }));
  EXPECT_TRUE(said("loop-goes-on loop=2"));
}

TEST(LoopGroup, OneHeavyGatewayWhoseConnectionsAllLieOnOneLoopIsSpreadByItsLoad) {
  // Also where other programs leave this one little of the machine.
  Rig rig(2, 1000, 0.005);
  std::vector<Gateway> gateways;
  {
    // All come while the other loop hangs.
    Gate gate;
    rig.Hang(1, gate);
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
  EXPECT_EQ(rig.counted(), number);
}

TEST(LoopGroup, AFullQueueStopsTheReadingAndLosesNothing) {
  Rig rig(1);
  // The deciding thread stands still while far more is asked than the queue holds: 32 on each of 300.
  std::vector<Gateway> gateways;
  for (int i = 0; i < 300; ++i) gateways.emplace_back(rig.port);
  ASSERT_TRUE(rig.Await([&] { return rig.group->connections() == 300; }));
  Gate gate;
  std::size_t waiting = 0;
  std::thread still([&] {
    rig.Do([&] {
      gate.Wait();
      waiting = rig.group->Loops()[0].pending_messages;
    });
  });
  gate.AwaitWaiter();
  std::uint64_t number = 0;
  for (Gateway& gateway : gateways) {
    std::string frames;
    for (std::uint32_t stream = 1; stream <= 32; ++stream) frames += Request(stream, ++number);
    gateway.Write(frames);
  }
  // Until it has gone round several times with the queue full, and longer than from one report to the next:
  // what is left lies in the sockets.
  const auto until = [&](const std::function<bool()>& holds) {
    for (const auto end = Steady::now() + 40s; !holds() && Steady::now() < end;)
      std::this_thread::sleep_for(1ms);
  };
  until([&] { return rig.group->Loops()[0].pending_messages >= 4096; });
  const std::uint64_t beats = rig.group->Loops()[0].heartbeats;
  until([&] { return rig.group->Loops()[0].heartbeats > beats + 16; });
  gate.Open();
  still.join();
  EXPECT_GE(waiting, 4096u);
  EXPECT_LE(waiting, 4096u + 1);
  for (Gateway& gateway : gateways) {
    for (std::uint32_t stream = 1; stream <= 32; ++stream) gateway.ReadAnswer(stream, 0);
  }
  EXPECT_EQ(rig.counted(), 9600u);
}

TEST(LoopGroup, ARequestInTheRingWhoseClassIsDroppedIsRefusedAndCounted) {
  Rig rig(2);
  Gateway gateway(rig.port);
  gateway.Write(Request(1, 1));
  gateway.ReadAnswer(1, 0);
  Gate gate;
  std::thread still([&] {
    rig.Do([&] {
      gate.Wait();
      // The file is read anew while the request lies in the ring.
      rig.dropped = true;
      rig.group->ClassesChanged();
    });
  });
  gate.AwaitWaiter();
  // The loop answers the check by itself: the request before it lies in the ring by then.
  gateway.Write(Request(2, 2) + Gateway::Encode(6, 9, std::string(1, '\0')));
  EXPECT_EQ(gateway.Read().type, 7);
  gate.Open();
  still.join();
  gateway.ReadAnswer(2, 1);
  EXPECT_EQ(rig.refused(), 1u);
  // What comes from now on is of no class: it is refused, and counted nowhere.
  gateway.Write(Request(3, 3));
  gateway.ReadAnswer(3, 1);
  EXPECT_EQ(rig.refused(), 1u);
}

TEST(LoopGroup, AFloodOfUnreadableFramesHoldsUpOnlyItsOwn) {
  Rig rig(2);
  Gateway good(rig.port);
  good.Write(Request(1, 1));
  good.ReadAnswer(1, 0);
  std::atomic<bool> over{false};
  std::thread flood([&] {
    // Each ends its connection: unreadable from the first byte.
    while (!over) {
      Gateway bad(rig.port);
      bad.Write(std::string(64, '\xff'));
      bad.socket().Rest();
    }
  });
  for (std::uint32_t stream = 2; stream < 200; ++stream) {
    good.Write(Request(stream, stream));
    good.ReadAnswer(stream, 0);
  }
  over = true;
  flood.join();
}

TEST(LoopGroup, MoreLoopsThanCoresServeAndMoveAllTheSame) {
  Rig rig(6);
  // All on one unit of the machine, as --pin does where there are too few: the first that this process may
  // use.
  cpu_set_t mine;
  ASSERT_EQ(sched_getaffinity(0, sizeof mine, &mine), 0);
  unsigned unit = 0;
  while (!CPU_ISSET(unit, &mine)) ++unit;
  rig.Do([&] {
    for (std::size_t loop = 0; loop < 6; ++loop) EXPECT_TRUE(rig.group->PinLoopToCpus(loop, {unit}));
  });
  std::vector<Gateway> gateways;
  for (int i = 0; i < 24; ++i) gateways.emplace_back(rig.port);
  std::uint64_t number = 0;
  for (std::uint32_t stream = 1; stream <= 10; ++stream) {
    for (Gateway& gateway : gateways) gateway.Write(Request(stream, ++number));
    rig.Do([&] {
      if (!rig.came.empty()) rig.group->Move({rig.came.back().connection, 0, stream % 6});
    });
    for (Gateway& gateway : gateways) gateway.ReadAnswer(stream, 0);
  }
  EXPECT_EQ(rig.counted(), 240u);
  rig.Do([&] {
    rig.group->StopNewRequests();
    rig.group->StopReading();
  });
  EXPECT_TRUE(rig.Await([&] { return rig.group->AllSent(); }));
}

TEST(LoopGroup, AtTheEndAllThatWasReadIsAnswered) {
  Rig rig(3);
  rig.Do([&] { rig.hold = true; });
  std::vector<Gateway> gateways;
  for (int i = 0; i < 30; ++i) {
    gateways.emplace_back(rig.port);
    gateways.back().Write(Request(1, static_cast<std::uint64_t>(i)));
  }
  ASSERT_TRUE(rig.Await([&] { return rig.held.size() == 30; }));
  rig.Do([&] {
    rig.group->StopNewRequests();
    for (const core::StreamAddress& to : rig.came)
      rig.group->Move({to.connection, 0, (to.connection >> 56) == 0 ? 1u : 0u});
    rig.group->StopReading();
    EXPECT_FALSE(rig.group->AllSent());
  });
  rig.AnswerAll();
  ASSERT_TRUE(rig.Await([&] { return rig.group->AllSent(); }));
  for (Gateway& gateway : gateways) {
    EXPECT_EQ(gateway.Read().type, 9);
    EXPECT_EQ(gateway.Read().code, 0);
  }
  // What comes now is not read.
  gateways[0].Write(Request(2, 100));
  EXPECT_EQ(rig.came.size(), 30u);
}

}  // namespace
}  // namespace hingelink::net
