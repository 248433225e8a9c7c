// What the module keeps of a request, of a class and of an effect. Constants, here and in the other files,
// have their unit, and why; all are ratios of told settings or of things seen, or spans of a habit.
#ifndef HINGELINK_POLICY_REQUEST_H_
#define HINGELINK_POLICY_REQUEST_H_

#include <limits>
#include <memory>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Weight of a new sample in the mix of classes and in how each is served: about the last hundred.
constexpr double kMix = 0.01;
constexpr double kForever = std::numeric_limits<double>::infinity();

enum class State { kHeld, kFollowing, kRunning, kCallWait, kCalling, kReplaying };

// One keyed effect, all tries that repeat each other; or one read of a subject and those that share it.
struct Effect {
  bool ready = false;    // It may be replayed: a keyed one from its start, a read when it has ended well.
  bool kept = false;     // The table has an entry, which takes key_kb until `until`.
  RequestId holder = 0;  // The try that may run, or ran; it holds the table's entry.
  double until = 0, kept_until = 0;         // The latter by the host.
  std::vector<RequestId> followers, tries;  // Those waiting for the holder's fate; all.
};
using EffectPtr = std::shared_ptr<Effect>;

struct Request {
  State state = State::kHeld;
  bool retry = false;
  int cls = 0, call_tries = 0;
  bool over_share = false, behind = false;  // Above its tenant's share; starts last and goes first.
  bool answered = false;                    // An answer was given; only the run is left.
  bool gone = false;                        // The caller left; while held, its bytes are free already.
  double kb = 0, hint = 0;
  double size = 1;                     // Its hint over the usual hint of its class.
  double cost = 0;                     // Expected ms of a run outside calls.
  double arrival = 0;                  // When it reached the machine.
  double due = 0;                      // It must be answered by then.
  double aim = 0;                      // An answer earns its full worth until then.
  double watch = 0;                    // Its entry in the ledger.
  double call_since = 0, call_ms = 0;  // When it came to its call; spent at calls in this run.
  EffectPtr effect;                    // In keyed classes, and of shared reads.
};

// A class as told, and what is kept by class. One that was dropped keeps its slot while requests are open.
struct Slot {
  RequestClass told;
  bool listed = true;  // Among the settings told last.
  int open = 0;        // Requests in hand.
  LearnedClass mean;   // Its name is told's; one sample is the guess.
  double share = 0;    // Of recent arrivals.
  double served = 1;   // Share of recent ends that were starts.
};

// Guards against shares that fade below the processor's normal numbers: those take it 100 times as long.
inline void Fade(double& share, double part) {
  share -= part * share;
  if (share < std::numeric_limits<double>::min()) share = 0;
}

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_REQUEST_H_
