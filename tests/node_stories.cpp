// Stories of the portal node against scripted peers, one for each way it could fail. Run with a story's name.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>

#include "log/log.h"
#include "node/scripted_peers.h"
#include "proto/pool_lines.h"

namespace {

using peers::ForkedNode;
using peers::Frame;
using peers::Gateway;
using peers::PoolLink;
using peers::RunningNode;

const std::string kOne = "00000000000000a1", kTwo = "00000000000000a2", kThree = "00000000000000a3",
                  kFour = "00000000000000a4";

// Takes the barrier poll that follows `bound`, so that the link carries commands.
void Settle(PoolLink& link) {
  link.Bound();
  link.AnswerPoll(link.Line());
}

// A node in service: its worker pool is up, and one gateway is connected.
struct Scene {
  struct Bound : PoolLink {
    explicit Bound(const peers::Listener& pool) : PoolLink(pool, 0) { Settle(*this); }
  };
  RunningNode node;
  Bound link{node.pool};
  Gateway gateway{node.port()};
};

// Any bytes pass through unchanged, and answers go to their streams whatever their order.
void Serves() {
  RunningNode node;
  Gateway checks(node.port());
  checks.Write(Gateway::Encode(6, 1, std::string(1, '\0')));
  Frame health = checks.Read();
  assert(health.type == 7 && health.code == 0);  // Before the pool is up, too.
  PoolLink link(node.pool, 0);
  Settle(link);
  Gateway gateway(node.port());
  const std::string body("a\r\n\0b", 5), result("\0finished 9\r\n", 13);
  // One stamp for both: of two made in one expression either may be a millisecond older, and starts first.
  const std::map<std::string, std::string> now = {{"ts", std::to_string(Gateway::UnixMs())}};
  gateway.Write(Gateway::Request(1, kOne, body, now) + Gateway::Request(2, kTwo, "", now));
  // One core: the second waits in the hold for the first.
  std::string seen;
  assert(link.Command(&seen) == "spawn " + kOne + " order-lodge 5" && seen == body);
  link.Finish(1, kOne, "complete", result);
  assert(gateway.ReadAnswer(1, 0).body == result);
  assert(link.Command() == "spawn " + kTwo + " order-lodge 0");
  link.Finish(2, kTwo, "error", "");
  gateway.ReadAnswer(2, 2);
}

// What is wrong with one request answers its stream alone; the connection goes on.
void BadRequests() {
  Scene scene;
  auto& [node, link, gateway] = scene;
  const std::map<std::string, std::string> faults[] = {
      {{"kind", "no-such"}}, {{"req", "xyz"}},  {{"ts", "-1"}},       {{"timeout", "1e3"}},
      {{"need", "0"}},       {{"need", "nan"}}, {{"need", "2000"}},   {{"level", "1"}},
      {{"ms", "inf"}},       {{"ms", "-4"}},    {{"subject", "0x1"}}, {{"via", "99999999999"}},
      {{"resent", "2"}},     {{"opkey", kOne}}, {{"owner", ""}},      {{"timeout", "(none)"}},
  };
  std::uint32_t stream = 0;
  for (const auto& fault : faults) {
    gateway.Write(Gateway::Request(++stream, kOne, "x", fault));
    gateway.ReadAnswer(stream, 1);
  }
  gateway.Write(Gateway::Request(++stream, kOne, std::string(2049, 'x')));
  gateway.ReadAnswer(stream, 1);
  gateway.Write(Gateway::Request(++stream, kOne, std::string(200'000, 'x')));  // Skipped as it comes.
  gateway.ReadAnswer(stream, 1);
  gateway.Write(Gateway::Encode(0, ++stream, "\5"));  // Fields that run past the frame.
  gateway.ReadAnswer(stream, 1);
  gateway.Write(Gateway::Request(++stream, kOne, "good"));
  link.Command();
  // Who sends nothing else is ended.
  Gateway bad(node.port());
  for (std::uint32_t s = 1; s <= 64; ++s) {
    bad.Write(Gateway::Request(s, "xyz", ""));
    bad.ReadAnswer(s, 1);
  }
  bad.ReadAnswer(0, 2);
  assert(bad.socket().Finished());
  // A second try of one id is failed, not refused, while the first runs and after; it never runs.
  gateway.Write(Gateway::Request(50, kOne, "again"));
  gateway.ReadAnswer(50, 2);
  link.Finish(1, kOne, "complete", "done");
  gateway.ReadAnswer(stream, 0);
  gateway.Write(Gateway::Request(51, kOne, "again"));
  gateway.ReadAnswer(51, 2);
  // The 33rd open request of a connection is refused at once.
  for (std::uint32_t s = 100; s <= 132; ++s) {
    gateway.Write(Gateway::Request(s, hingelink::proto::FormatRequestId(s), "x", {{"need", "0.1"}}));
  }
  gateway.ReadAnswer(132, 1);
}

// A framing fault is told on stream 0 and ends that connection, and no other.
void FramingFaults() {
  RunningNode node;
  PoolLink link(node.pool, 0);
  Settle(link);
  Gateway good(node.port());
  const std::string faults[] = {
      peers::Number(4, 4) + std::string(5, '\0'),
      peers::Number(262'145, 4) + std::string(5, '\0'),
      Gateway::Encode(3, 1, ""),
      Gateway::Request(0, kOne, "x"),
      Gateway::Encode(1, 1, ""),
  };
  for (const std::string& fault : faults) {
    Gateway gateway(node.port());
    gateway.Write(fault);
    gateway.ReadAnswer(0, 2);
    assert(gateway.socket().Closed());
  }
  // Noise, the same in every run: whatever it is answered, the node lives on.
  std::mt19937_64 draw(7);
  for (int round = 0; round < 200; ++round) {
    Gateway gateway(node.port());
    std::string noise = Gateway::Request(1, kTwo, "noise", {{"timeout", "1"}});
    for (int flips = 0; flips < 4; ++flips) noise[draw() % noise.size()] = static_cast<char>(draw());
    gateway.Write(noise);
  }
  good.Write(Gateway::Request(1, kOne, "x"));
  while (link.Command().find(kOne) == std::string::npos) {
  }
  link.Finish(1, kOne, "complete", "y");
  assert(good.ReadAnswer(1, 0).body == "y");
}

// A lost link: replayed notices are taken in before a spawn is sent again, and none runs twice.
void LostLink() {
  RunningNode node;
  Gateway gateway(node.port());
  {
    PoolLink link(node.pool, 0);
    Settle(link);
    gateway.Write(Gateway::Request(1, kOne, "first"));
    link.Command();
    link.Write("chatter 1 nothing 4\r\nfinished 2 " + kOne + " comp");  // Cut off inside a line.
  }
  {
    // The order ran while there was no link: its finish is replayed, and it is not sent again.
    PoolLink link(node.pool, 1);
    link.Bound();
    const std::string barrier = link.Line();
    assert(barrier.starts_with("poll "));
    link.Finish(1, kOne, "error", "");  // Not above the last notice read: ignored.
    link.Finish(2, kOne, "complete", "once");
    link.AnswerPoll(barrier);
    assert(gateway.ReadAnswer(1, 0).body == "once");
    gateway.Write(Gateway::Request(2, kTwo, "second"));
    assert(link.Command().starts_with("spawn " + kTwo));
  }
  {
    // That one was swallowed: it is sent again, behind the barrier.
    PoolLink link(node.pool, 2);
    link.Bound();
    const std::string barrier = link.Line();
    assert(barrier.starts_with("poll "));
    link.AnswerPoll(barrier);
    std::string body;
    assert(link.Command(&body).starts_with("spawn " + kTwo) && body == "second");
    link.Finish(3, kTwo, "complete", "sent twice");
    assert(gateway.ReadAnswer(2, 0).body == "sent twice");
    gateway.Write(Gateway::Request(3, kThree, "third"));
    assert(link.Command().starts_with("spawn " + kThree));
  }
  // That one ends right behind the barrier: it is not sent again.
  PoolLink link(node.pool, 3);
  link.Bound();
  const std::string tag = link.Line().substr(5);
  link.Write("polled " + tag + " 0.1 0 0.1 1\r\nfinished 4 " + kThree + " complete 9 5\r\nthird\r\n");
  assert(gateway.ReadAnswer(3, 0).body == "third");
  gateway.Write(Gateway::Request(4, kFour, "fourth"));
  assert(link.Command().starts_with("spawn " + kFour));
  // A spawn that the pool does not know never ran.
  link.Write("unknown spawn " + kFour + "\r\n");
  gateway.ReadAnswer(4, 1);
}

// Reads of one subject share the run of the first while its answer is fresh; what no run made is not served.
void SharedReads() {
  Scene scene;
  auto& [node, link, gateway] = scene;
  const std::map<std::string, std::string> read = {{"kind", "usage-view"}, {"subject", "7f3a9c21e0b4d655"}};
  gateway.Write(Gateway::Request(1, kOne, "x", read));
  link.Command();
  gateway.Write(Gateway::Request(2, kTwo, "x", read));
  link.Finish(1, kOne, "error", "");
  gateway.ReadAnswer(1, 2);
  assert(link.Command() == "spawn " + kTwo + " usage-view 1");  // The first failed: the next runs itself.
  link.Finish(2, kTwo, "complete", "usage");
  assert(gateway.ReadAnswer(2, 0).body == "usage");
  gateway.Write(Gateway::Request(3, kThree, "x", read));
  assert(gateway.ReadAnswer(3, 0).body == "usage");
  // Another subject runs for itself.
  gateway.Write(Gateway::Request(4, kFour, "x", {{"kind", "usage-view"}, {"subject", kOne}}));
  assert(link.Command().find("a4") != std::string::npos);
}

// At a site with tenants, a keyed class, a store and waits that are not told.
std::string store_address;
std::string KeyedSite(std::string json) {
  const auto replace = [&json](const std::string& what, const std::string& with) {
    assert(json.find(what) != std::string::npos);
    json.replace(json.find(what), what.size(), with);
  };
  replace(R"("requestClasses":[)",
          R"("requestClasses":[{"name":"claim","goalTimeMs":2000.0,"hardLimitMs":4900.0,
      "repeat":"keyed","windowMs":20000.0,"worth":1.0},)");
  replace(R"("tenants":[])", R"("tenants":[{"name":"north","portion":0.5,"quotaRps":90.0},
      {"name":"west","portion":0.5,"quotaRps":90.0}])");
  replace(R"("passesDeadline":true)", R"("passesDeadline":false)");
  replace(R"("dependsOn":"silent")",
          R"("dependsOn":"shared","callShare":8.0,"callsOverMs":5000.0,"lingersMs":200.0,
      "classCalls":[true,true,false],"worthWithout":[0.0,0.5,0.0])");
  replace(R"("pool":)", R"("store":")" + store_address + R"(","pool":)");
  return json;
}

void Keyed() {
  const peers::Listener store;
  store_address = store.Address();
  peers::edit_config = KeyedSite;
  Scene scene;
  auto& [node, link, gateway] = scene;
  const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  const auto claim = [&](std::map<std::string, std::string> with = {}) {
    std::map<std::string, std::string> fields = {
        {"kind", "claim"}, {"timeout", "(none)"}, {"owner", "west"}, {"opkey", key}};
    for (const auto& [name, value] : with) fields[name] = value;
    return fields;
  };
  // What the site says that every request has, and this one lacks or has wrong.
  std::uint32_t stream = 100;
  for (const auto& [name, value] : std::vector<std::pair<std::string, std::string>>{
           {"opkey", "(none)"}, {"owner", "(none)"}, {"opkey", "x" + key.substr(1)}, {"owner", "nobody"}}) {
    gateway.Write(Gateway::Request(++stream, kFour, "x", claim({{name, value}})));
    assert(gateway.ReadAnswer(stream, 1).fields.at("nomore") == "1");
  }
  gateway.Write(Gateway::Request(1, kOne, "body", claim()));
  assert(link.Command() == "spawn " + kOne + " claim 4");
  link.Write("blocked 1 " + kOne + " 4\r\nc\r\nd\r\n");
  peers::Socket calls = store.Accept();
  const std::string call = calls.Line();
  assert(call.starts_with("CALL " + kOne + ' ') && call.ends_with(" 4") && calls.Bytes(6) == "c\r\nd\r\n");
  // A further try while the first stands at its call: it waits, and does not run.
  gateway.Write(Gateway::Request(2, kTwo, "body", claim({{"resent", "1"}})));
  calls.Write(kOne + " OK 5\r\nr\r\n+1\r\n");
  std::string reply;
  assert(link.Command(&reply) == "supply " + kOne + " 5" && reply == "r\r\n+1");
  link.Finish(2, kOne, "complete", "claimed");
  assert(gateway.ReadAnswer(1, 0).body == "claimed");
  assert(gateway.ReadAnswer(2, 0).body == "claimed");
  // And one that comes when all is over, over another connection; but none with another body.
  Gateway other(node.port());
  other.Write(Gateway::Request(1, kThree, "body", claim({{"resent", "1"}})));
  assert(other.ReadAnswer(1, 0).body == "claimed");
  other.Write(Gateway::Request(2, "00000000000000b5", "other", claim()));
  other.ReadAnswer(2, 2);
  // A read that cannot make its call goes on without it.
  gateway.Write(
      Gateway::Request(3, kFour, "x", {{"kind", "usage-view"}, {"timeout", "(none)"}, {"owner", "north"}}));
  link.Command();
  link.Write("blocked 3 " + kFour + " 1\r\nc\r\n");
  assert(calls.Line().starts_with("CALL " + kFour));
  calls.Bytes(3);
  calls.Write(kFour + " LATE\r\n");
  assert(link.PassedOn() == "pass " + kFour + " 3");
  link.Finish(4, kFour, "complete", "poorer");
  assert(gateway.ReadAnswer(3, 0).body == "poorer");
  const std::string figures = node.Get("/ops/stats");
  assert(figures.find("edge_node_key_replays 2") != std::string::npos);
  assert(figures.find("edge_node_store_calls{outcome=\"ok\"} 1") != std::string::npos);
  assert(figures.find("edge_node_key_mismatches 1") != std::string::npos);
}

// A run that is overdue is failed by its due time, and its later finish is dropped.
void OverdueRun() {
  Scene scene;
  auto& [node, link, gateway] = scene;
  const std::uint64_t sent = Gateway::UnixMs();
  gateway.Write(Gateway::Request(1, kOne, "x", {{"timeout", "900"}, {"ms", "1"}}));
  link.Command();
  gateway.ReadAnswer(1, 2);  // No poll is answered meanwhile: timers do not wait for the pool.
  assert(Gateway::UnixMs() <= sent + 1000);
  link.Finish(1, kOne, "complete", "late");
  // A request whose wait was over when it came is turned away at once.
  gateway.Write(Gateway::Request(2, kTwo, "x", {{"ts", std::to_string(sent - 5000)}}));
  gateway.ReadAnswer(2, 1);
  // One whose caller left is owed nothing: the next answer is the next request's.
  gateway.Write(Gateway::Request(3, kThree, "x"));
  link.Command();
  gateway.Write(Gateway::Encode(2, 3, "") + Gateway::Encode(6, 9, std::string(1, '\0')));
  assert(gateway.Read().type == 7);  // The node has read that the caller left.
  link.Finish(2, kThree, "complete", "unheard");
  gateway.Write(Gateway::Request(4, kFour, "x", {{"ts", std::to_string(sent - 5000)}}));
  gateway.ReadAnswer(4, 1);
}

// The notice to leave: told to gateways and registry, late arrivals refused, all that was read is answered.
void Drains() {
  RunningNode node(2000);
  PoolLink link(node.pool, 0);
  Settle(link);
  peers::Socket registry = node.registry.Accept();
  assert(registry.Line() == "PUT /v1/instances/n3 HTTP/1.1");
  while (registry.Line() != "") {
  }
  assert(registry.Bytes(17) == R"({"state":"ready"})");
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kOne, "held"));
  link.Command();
  node.Leave();
  assert(gateway.Read().type == 9);
  // The call under way comes first; then the new state, at once and not a period later.
  registry.Write("HTTP/1.1 204 No Content\r\n\r\n");
  while (registry.Line() != "") {
  }
  assert(registry.Bytes(20) == R"({"state":"draining"})");
  // Arrived past the grace (none, here) of the notice: not run.
  gateway.Write(Gateway::Request(2, kTwo, "late", {{"ts", std::to_string(Gateway::UnixMs() + 1)}}));
  gateway.ReadAnswer(2, 1);
  gateway.ReadAnswer(1, 2);  // Its run never ended: failed before the kill.
  node.Join();
  assert(gateway.socket().Closed());
}

// Beyond the descriptors for gateways a connection with nothing open makes room, the least useful first;
// where there is none the new one is closed. The pool's and the registry's descriptors are kept.
void AtLimit() {
  RunningNode node(600, peers::Sockets(64, 1));
  PoolLink link(node.pool, 0);
  Settle(link);
  const std::string check = Gateway::Encode(6, 1, std::string(1, '\0'));
  Gateway served(node.port());
  served.Write(Gateway::Request(1, kOne, "x"));
  link.Command();
  link.Finish(1, kOne, "complete", "y");
  served.ReadAnswer(1, 0);
  Gateway checks(node.port());
  checks.Write(check);
  assert(checks.Read().type == 7);
  std::vector<Gateway> silent;
  for (int i = 0; i < 30; ++i) silent.emplace_back(node.port());
  // The new ones push out the silent ones in turn, then the one that was not served.
  std::vector<Gateway> more;
  for (int i = 0; i < 31; ++i) {
    more.emplace_back(node.port());
    more.back().Write(check);
    assert(more.back().Read().type == 7);
    assert((i < 30 ? silent[i] : checks).socket().Closed());
  }
  served.Write(check);
  assert(served.Read().type == 7);
}

// A peer that says nothing or stops in the middle of a frame is ended soon; one with a whole frame may be
// idle.
void Unfinished() {
  RunningNode node;
  Gateway idle(node.port()), silent(node.port()), half(node.port()), endless(node.port());
  const std::string check = Gateway::Encode(6, 1, std::string(1, '\0'));
  idle.Write(check);
  assert(idle.Read().type == 7);
  half.Write(check.substr(0, 7));
  Gateway used(node.port());
  used.Write(check + check.substr(0, 7));
  assert(used.Read().type == 7);
  endless.Write(peers::Number(200'000, 4) + peers::Number(1, 5) + std::string(50'000, 'x'));
  endless.ReadAnswer(1, 1);
  const std::uint64_t began = Gateway::UnixMs();
  assert(silent.socket().Closed() && half.socket().Closed() && endless.socket().Closed());
  assert(Gateway::UnixMs() - began < 3000);
  assert(used.socket().Closed());
  idle.Write(check);
  assert(idle.Read().type == 7);
}

const std::string kCheck = Gateway::Encode(6, 1, std::string(1, '\0'));

// Keeps asking for so long.
void Pass(Gateway& clock, std::uint64_t ms) {
  for (const std::uint64_t began = Gateway::UnixMs(); Gateway::UnixMs() < began + ms;) {
    clock.Write(kCheck);
    assert(clock.Read().type == 7);
  }
}

// Good clients on a slow line: a first frame that comes in pieces, and a pause in a later one.
void SlowClients() {
  RunningNode node;
  Gateway clock(node.port()), pieces(node.port()), pause(node.port());
  pause.Write(kCheck + kCheck.substr(0, 7));
  assert(pause.Read().type == 7);
  for (std::size_t at = 0; at < kCheck.size(); at += 4) {
    pieces.Write(kCheck.substr(at, 4));
    Pass(clock, 1000);
  }
  assert(pieces.Read().type == 7);
  pause.Write(kCheck.substr(7));
  assert(pause.Read().type == 7);
}

// Half frames that fill all descriptors make room, those that have stood longest first.
void HalfFrames() {
  RunningNode node(600, peers::Sockets(64, 1));
  Gateway clock(node.port());
  std::vector<Gateway> half;
  for (int i = 0; i < 31; ++i) {
    half.emplace_back(node.port());
    half.back().Write(kCheck.substr(0, 7));
  }
  Pass(clock, 1300);
  Gateway next(node.port());
  next.Write(kCheck);
  assert(next.Read().type == 7);
  clock.Write(kCheck);  // Not pushed out in their place.
  assert(clock.Read().type == 7);
}

// The error behind a fault arrives whatever else the peer is still sending, and its open requests are
// answered.
void FaultIsHeard() {
  Scene scene;
  auto& [node, link, gateway] = scene;
  gateway.Write(Gateway::Request(1, kOne, "x"));
  link.Command();
  gateway.Write(peers::Number(60'000'000, 4) + std::string(3'000'000, 'x'));
  gateway.ReadAnswer(1, 2);
  gateway.ReadAnswer(0, 2);
  assert(gateway.socket().Finished());
}

// New configurations: bad ones change nothing; new addresses are taken at once, with all that is open.
void Reloads() {
  RunningNode node;
  peers::Listener pool, registry, second_pool, second_registry;
  PoolLink old(node.pool, 0);
  Settle(old);
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kOne, "first"));
  old.Command();
  const std::string moved = node.Moved(pool, registry), again = node.Moved(second_pool, second_registry);
  node.Reload("{\"pool\":");
  // The old link still carries what comes; the answer shows that the node lives.
  old.Finish(1, kOne, "complete", "old");
  assert(gateway.ReadAnswer(1, 0).body == "old");
  gateway.Write(Gateway::Request(2, kTwo, "second"));
  assert(old.Command().starts_with("spawn " + kTwo));
  node.Reload(moved);
  peers::Socket reports = registry.Accept();
  assert(reports.Line().starts_with("PUT "));
  PoolLink fresh(pool, 1);
  // A second one before the first link has settled.
  node.Reload(again);
  assert(second_registry.Accept().Line().starts_with("PUT "));
  PoolLink link(second_pool, 1);
  link.Bound();
  const std::string barrier = link.Line();
  assert(barrier.starts_with("poll "));
  // The run went on meanwhile: its end is replayed, and it is not sent again.
  link.Finish(2, kTwo, "complete", "moved");
  link.AnswerPoll(barrier);
  assert(gateway.ReadAnswer(2, 0).body == "moved");
  gateway.Write(Gateway::Request(3, kThree, "third"));
  assert(link.Command().starts_with("spawn " + kThree));
}

// Requests that are taken back in the piece that brings them take nobody's place in the hold.
void TakenBack() {
  RunningNode node;
  PoolLink link(node.pool, 0);
  Settle(link);
  Gateway gateway(node.port()), bad(node.port());
  gateway.Write(Gateway::Request(1, kOne, "x"));
  link.Command();
  gateway.Write(Gateway::Request(2, kTwo, "held", {{"kind", "usage-view"}, {"subject", kTwo}}));
  gateway.Write(Gateway::Encode(6, 1, std::string(1, '\0')));
  assert(gateway.Read().type == 7);
  std::string sent, taken_back;
  for (std::uint32_t s = 1; s <= 16; ++s) {  // All in one piece.
    sent += Gateway::Request(s, hingelink::proto::FormatRequestId(s), "x");
    taken_back += Gateway::Encode(2, s, "");
  }
  bad.Write(sent + taken_back + Gateway::Encode(6, 17, std::string(1, '\0')));
  assert(bad.Read().type == 7);
  link.Finish(1, kOne, "complete", "y");
  assert(gateway.ReadAnswer(1, 0).body == "y");
  assert(link.Command() == "spawn " + kTwo + " usage-view 4");
}

// Lines that peers cause are bounded, and those left out are counted.
void LogIsBounded() {
  using hingelink::log::LogBudget;
  LogBudget budget;
  const LogBudget::Time start{std::chrono::hours(1)};
  int written = 0;
  for (int i = 0; i < 5000; ++i) written += budget.Take(start) ? 1 : 0;
  assert(written == LogBudget::kBurst && budget.TakeLeftOut() == 5000 - written);
  assert(budget.Take(start + std::chrono::seconds(1)) && budget.TakeLeftOut() == 0);
}

// A remark longer than any line that is kept is passed over, whole or in pieces.
void LongRemark() {
  Scene scene;
  auto& [node, link, gateway] = scene;
  gateway.Write(Gateway::Request(1, kOne, "x"));
  link.Command();
  link.Write("chatter 1 " + std::string(300'000, 'x') + "\r\nchatter 2 " + std::string(65'525, 'y') + "\r\n");
  link.Finish(3, kOne, "complete", "y");
  assert(gateway.ReadAnswer(1, 0).body == "y");
  gateway.Write(Gateway::Request(2, kTwo, "x"));
  assert(link.Command().starts_with("spawn " + kTwo));  // On the same link.
}

// A pool that hangs: the node does not go on starting runs on the word of its last report of idle cores.
void OldGauges() {
  Scene scene;
  auto& [node, link, gateway] = scene;
  const auto ask = [&gateway](std::uint32_t stream) {
    gateway.Write(Gateway::Request(stream, hingelink::proto::FormatRequestId(stream), "x",
                                   {{"kind", "usage-view"}, {"timeout", "1200"}, {"need", "0.1"}}));
  };
  for (std::uint32_t s = 1; s <= 3; ++s) {
    ask(s);
    link.Command();  // Answers polls meanwhile: the cores are idle, so a second and a third may run.
  }
  for (std::uint32_t s = 4; s <= 7; ++s) ask(s);
  int never_ran = 0;
  for (int answers = 0; answers < 7; ++answers) never_ran += gateway.Read().code == 1 ? 1 : 0;
  assert(never_ran >= 2);
}

// A report that fails in whatever way is made again, and the node serves on.
void RegistryFails() {
  RunningNode node;
  for (const char* answer : {"", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
                             "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"}) {
    peers::Socket registry = node.registry.Accept();
    assert(registry.Line().starts_with("PUT "));
    registry.Write(answer);
  }
  peers::Socket registry = node.registry.Accept();
  assert(registry.Line().starts_with("PUT "));
}

// A gateway that asks and never reads is not read either, and takes nothing from the others.
void SlowReader() {
  RunningNode node;
  PoolLink link(node.pool, 0);
  Settle(link);
  Gateway slow(node.port());
  const std::string check = Gateway::Encode(6, 1, std::string(1, '\0'));
  std::string checks;
  while (checks.size() < 100'000) checks += check;
  // Until the sockets are full: the node has stopped reading.
  while (send(slow.socket().fd(), checks.data(), checks.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0) {
  }
  Gateway good(node.port());
  good.Write(check);
  assert(good.Read().type == 7);
}

bool Has(const std::string& text, const std::string& line) {
  return text.find("\n" + line + "\n") != std::string::npos;
}

// The second address: calls in any pieces, bad ones told so, and callers that finish no call keep out nobody.
void Operators() {
  RunningNode node;
  std::vector<Gateway> idle;
  for (int i = 0; i < 20; ++i) idle.emplace_back(node.admin_port());
  Gateway half(node.admin_port());
  half.Write("GET /ops/readiness HT");
  assert(node.Get("/ops/readiness").starts_with("HTTP/1.1 503 "));  // The worker pool is not up.
  PoolLink link(node.pool, 0);
  Settle(link);
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kOne, "x"));
  link.Command();
  half.Write("TP/1.1\r\nHost: n3\r\n\r");
  half.Write("\n");
  assert(half.socket().Rest().starts_with("HTTP/1.1 200 "));
  assert(node.Get("/ops/stats?all").starts_with("HTTP/1.1 200 "));
  assert(node.Get("/ops").starts_with("HTTP/1.1 404 "));
  assert(node.Ask("POST /ops/stats HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 405 "));
  for (const char* bad :
       {"nonsense\r\n\r\n", "GET  HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nno field\r\n\r\n"}) {
    assert(node.Ask(bad).starts_with("HTTP/1.1 400 "));
  }
  assert(node.Ask("GET /" + std::string(9000, 'x')).starts_with("HTTP/1.1 400 "));
  for (Gateway& caller : idle) assert(caller.socket().Closed());  // By the deadline at the latest.
  node.Leave();
  assert(gateway.Read().type == 9);
  assert(node.Get("/ops/readiness").starts_with("HTTP/1.1 503 "));
}

// Each way in which a request ends is counted once, where its answer is written.
void Figures() {
  RunningNode node;
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kOne, "x"));  // Refused outside the module: no worker pool yet.
  gateway.ReadAnswer(1, 1);
  PoolLink link(node.pool, 0);
  Settle(link);
  std::string figures = node.Get("/ops/stats");
  assert(Has(figures, "edge_node_calls{tier=\"usage-view\",code=\"success\"} 0"));  // From 0 on.
  gateway.Write(Gateway::Request(2, kOne, "x"));
  link.Command();
  assert(Has(node.Get("/ops/stats"), "edge_node_inflight 1"));
  link.Finish(1, kOne, "complete", "y");
  gateway.ReadAnswer(2, 0);
  gateway.Write(Gateway::Request(3, kTwo, "x"));
  link.Command();
  link.Finish(2, kTwo, "error", "");
  gateway.ReadAnswer(3, 2);
  gateway.Write(Gateway::Request(4, kTwo, "x"));  // One try a second time.
  gateway.ReadAnswer(4, 2);
  gateway.Write(Gateway::Request(5, kThree, "x", {{"via", "none"}}));  // Cannot be read.
  gateway.ReadAnswer(5, 1);
  gateway.Write(Gateway::Request(6, kThree, "x", {{"kind", "no-such"}}));  // Of no class: not counted.
  gateway.ReadAnswer(6, 1);
  gateway.Write(Gateway::Request(7, kThree, "x"));
  link.Command();
  gateway.Write(peers::Number(1, 4) + std::string(5, '\0'));  // A framing fault fails what is open.
  gateway.ReadAnswer(7, 2);
  gateway.ReadAnswer(0, 2);
  // A loop tells the node of the failed one behind its answer.
  do {
    figures = node.Get("/ops/stats");
  } while (!Has(figures, "edge_node_inflight 0"));
  assert(Has(figures, "edge_node_calls{tier=\"order-lodge\",code=\"success\"} 1"));
  assert(Has(figures, "edge_node_calls{tier=\"order-lodge\",code=\"busy\"} 2"));
  assert(Has(figures, "edge_node_calls{tier=\"order-lodge\",code=\"failure\"} 3"));
  assert(Has(figures, "edge_node_backend_calls 3"));
}

// `text` with the first `from` behind `behind` replaced.
std::string With(std::string text, const std::string& behind, const std::string& from,
                 const std::string& to) {
  const std::size_t at = text.find(from, text.find(behind));
  assert(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// New classes at SIGHUP: taken whole or not at all, with requests open in a class that is dropped.
void Retunes() {
  Scene scene;
  auto& [node, link, gateway] = scene;
  const std::string first = node.config();
  int failed = 0;
  const auto read = [&](const std::string& figure, int count) {
    while (!Has(node.Get("/ops/stats"), figure + ' ' + std::to_string(count))) {
    }
  };
  const std::string lodge = "order-lodge";
  for (const std::string& bad :
       {std::string(), first.substr(0, first.size() - 1), With(first, lodge, ",\"worth\":5.0", ""),
        With(first, "rules", "\"fallMs\":1500.0,", ""), With(first, "{", "\"ops\":\"127.0.0.1:0\",", ""),
        With(first, lodge, "\"repeat\":\"unsafe\",", ""), With(first, lodge, "4900.0", "\"4900.0\""),
        With(first, lodge, "4900.0", "null"), With(first, lodge, "4900.0", "0"),
        With(first, lodge, "4900.0", "-1"), With(first, lodge, "4900.0", "1e999"),
        With(first, "", lodge, "usage-view"), With(first, "specifics", "\"cpus\":1", "\"cpus\":\"1\""),
        With(With(first, "", lodge, "order-new"), "order-new", "\"goalTimeMs\":2000.0,", "")}) {
    node.Reload(bad);
    read("edge_node_reconfig_failed", ++failed);
  }
  gateway.Write(Gateway::Request(1, kOne, "x"));
  link.Command();
  // Stamped ahead of what comes below: of two with one stamp either may start first.
  gateway.Write(Gateway::Request(2, kTwo, "held", {{"ts", std::to_string(Gateway::UnixMs() - 100)}}));
  gateway.Write(Gateway::Encode(6, 9, std::string(1, '\0')));
  assert(gateway.Read().type == 7);  // Both are taken.
  node.Reload(With(With(first, "", lodge, "order-new"), "", "usage-view", "usage-new"));
  read("edge_node_reconfig_ok", 1);
  gateway.Write(Gateway::Request(3, kThree, "x"));
  gateway.ReadAnswer(3, 1);  // Of a class that is no more.
  gateway.Write(Gateway::Request(4, kFour, "x", {{"kind", "order-new"}}));
  link.Finish(1, kOne, "complete", "y");
  assert(gateway.ReadAnswer(1, 0).body == "y");
  assert(link.Command() == "spawn " + kTwo + " order-lodge 4");
  link.Finish(2, kTwo, "complete", "z");
  assert(gateway.ReadAnswer(2, 0).body == "z");
  assert(link.Command() == "spawn " + kFour + " order-new 1");
  const std::string figures = node.Get("/ops/stats");
  assert(Has(figures, "edge_node_calls{tier=\"usage-new\",code=\"busy\"} 0"));
  assert(Has(figures, "edge_node_calls{tier=\"order-lodge\",code=\"success\"} 2"));
}

// A folder that processes of one node share, gone at the end.
struct SharedFolder {
  SharedFolder() { assert(mkdtemp(path.data()) != nullptr); }
  ~SharedFolder() { std::filesystem::remove_all(path); }
  std::string path = (std::filesystem::temp_directory_path() / "hingelink-XXXXXX").string();
};

// A gateway whose request runs on the node.
Gateway Begin(const ForkedNode& node, PoolLink& link) {
  Settle(link);
  Gateway gateway(node.port);
  gateway.Write(Gateway::Request(1, kOne, "x"));
  link.Command();
  return gateway;
}

// An upgrade: the predecessor serves until the successor's pool is bound, then asks for no more, answers all
// that is in hand or crosses, and ends by itself. What waits in the queue is the successor's, SIGTERM is no
// drain, and the limit on runs holds for both together.
void Upgrade() {
  const SharedFolder folder;
  ForkedNode old(folder.path);
  PoolLink old_link(old.pool, 0);
  Gateway gateway = Begin(old, old_link);
  ForkedNode fresh(folder.path);
  assert(fresh.port == old.port && !fresh.Ready() && old.Ready());
  PoolLink link(fresh.pool, 0);
  for (int polls = 0; polls < 3; ++polls) old_link.AnswerPoll(old_link.Line());  // It has told of its run.
  Settle(link);
  assert(gateway.Read().type == 9);
  fresh.AwaitReady();
  assert(!old.Ready());
  Gateway next(fresh.port);
  next.Write(Gateway::Request(1, kThree, "x"));
  gateway.Write(Gateway::Request(2, kTwo, "crossed"));
  for (int polls = 0; polls < 4; ++polls) {  // One core, and the predecessor's run is on it.
    const std::string line = link.Line();
    assert(line.starts_with("poll "));
    link.Write("polled " + line.substr(5) + " 1 3 0.1 1\r\n");
  }
  old.Signal(SIGTERM);
  old_link.Finish(1, kOne, "complete", "y");
  assert(gateway.ReadAnswer(1, 0).body == "y");
  assert(old_link.Command().starts_with("spawn " + kTwo));
  old_link.Finish(2, kTwo, "complete", "z");
  assert(gateway.ReadAnswer(2, 0).body == "z");
  gateway.socket().Close();
  assert(old.Wait() == 0);
  assert(link.Command().starts_with("spawn " + kThree));
  link.Finish(1, kThree, "complete", "next");
  assert(next.ReadAnswer(1, 0).body == "next");
  // A third takes over from the second.
  ForkedNode third(folder.path);
  PoolLink third_link(third.pool, 0);
  Settle(third_link);
  assert(next.Read().type == 9);
}

// A predecessor that holds most descriptors with clients that never close: it lets go of them, and who comes
// to the successor meanwhile waits and is not turned away.
void CrowdedUpgrade() {
  const SharedFolder folder;
  ForkedNode old(folder.path, peers::Sockets(80, 2));
  PoolLink old_link(old.pool, 0);
  Settle(old_link);
  std::vector<Gateway> stay;
  for (int i = 0; i < 40; ++i) {
    stay.emplace_back(old.port);
    stay.back().Write(kCheck);
    assert(stay.back().Read().type == 7);
  }
  for (int polls = 0; polls < 3; ++polls) old_link.AnswerPoll(old_link.Line());
  ForkedNode fresh(folder.path, peers::Sockets(80, 2));
  PoolLink link(fresh.pool, 0);
  for (int polls = 0; polls < 3; ++polls) old_link.AnswerPoll(old_link.Line());  // It has told of them.
  Settle(link);
  for (Gateway& gateway : stay) assert(gateway.Read().type == 9);
  std::vector<Gateway> next;
  for (int i = 0; i < 10; ++i) {
    next.emplace_back(fresh.port);
    next.back().Write(kCheck);
  }
  for (Gateway& gateway : next) assert(gateway.Read().type == 7);
  for (Gateway& gateway : stay) assert(gateway.socket().Finished());
  assert(old.Wait() == 0);
}

// A successor that dies gives the clients back; a process that dies leaves a file that stops no other.
void LostSuccessor() {
  const SharedFolder folder;
  ForkedNode old(folder.path);
  PoolLink old_link(old.pool, 0);
  Gateway gateway = Begin(old, old_link);
  {
    ForkedNode early(folder.path);
    early.End(SIGKILL);  // Before it took any client.
  }
  ForkedNode fresh(folder.path);
  PoolLink link(fresh.pool, 0);
  Settle(link);
  fresh.AwaitReady();
  fresh.End(SIGKILL);
  Gateway back(old.port);
  back.Write(Gateway::Encode(6, 1, std::string(1, '\0')));
  assert(back.Read().type == 7);
  old.AwaitReady();
  {
    ForkedNode again(folder.path);
    assert(again.port == old.port);
  }
  old.End(SIGKILL);
  ForkedNode alone(folder.path);
  PoolLink alone_link(alone.pool, 0);
  Settle(alone_link);
  alone.AwaitReady();
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> stories[] = {
      {"serves", Serves},
      {"bad-requests", BadRequests},
      {"framing-faults", FramingFaults},
      {"lost-link", LostLink},
      {"shared-reads", SharedReads},
      {"keyed", Keyed},
      {"overdue-run", OverdueRun},
      {"drains", Drains},
      {"at-limit", AtLimit},
      {"registry-fails", RegistryFails},
      {"slow-reader", SlowReader},
      {"reloads", Reloads},
      {"unfinished", Unfinished},
      {"slow-clients", SlowClients},
      {"half-frames", HalfFrames},
      {"fault-is-heard", FaultIsHeard},
      {"taken-back", TakenBack},
      {"log-is-bounded", LogIsBounded},
      {"old-gauges", OldGauges},
      {"long-remark", LongRemark},
      {"operators", Operators},
      {"figures", Figures},
      {"retunes", Retunes},
      {"upgrade", Upgrade},
      {"crowded-upgrade", CrowdedUpgrade},
      {"lost-successor", LostSuccessor},
  };
  for (const auto& [name, story] : stories) {
    if (argc < 2 || std::strcmp(argv[1], name) != 0) continue;
    if (argc > 2) peers::node_threads = static_cast<std::size_t>(std::atoi(argv[2]));
    peers::successor_threads = argc > 3 ? static_cast<std::size_t>(std::atoi(argv[3])) : peers::node_threads;
    story();
    std::printf("%s: ok\n", name);
    return 0;
  }
  std::fprintf(stderr, "usage: node_stories STORY [THREADS [OF_SUCCESSORS]]\n");
  return 2;
}
