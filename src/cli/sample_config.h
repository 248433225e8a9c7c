// A configuration of a node for demos, trials and tests, in the platform's form.
#ifndef HINGELINK_CLI_SAMPLE_CONFIG_H_
#define HINGELINK_CLI_SAMPLE_CONFIG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/gateways.h"

namespace hingelink::cli {

struct Sample {
  std::string name = "demo";
  std::string listen = "127.0.0.1:0";
  std::string pool, registry;
  int cores = 4;
  int stop_ms = 3200;
  int gateways = 3;
  std::uint64_t seed = 1;
};

// Three classes: usage-view (36%, 30 ms of work), settings-save (34%, 40 ms), order-lodge (30%, 40 ms, never
// run twice).
nlohmann::ordered_json SampleConfig(const Sample& sample);
std::vector<standin::ClassLoad> SampleLoad();
// First tries a second that so many standard cores can just serve.
double SampleCapacity(int cores);

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_SAMPLE_CONFIG_H_
