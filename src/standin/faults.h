// A script of faults as JSON:
// [{"at_ms":1000,"fault":"break-links"},{"at_ms":2000,"fault":"hang","for_ms":500}].
#ifndef HINGELINK_STANDIN_FAULTS_H_
#define HINGELINK_STANDIN_FAULTS_H_

#include <string>
#include <vector>

#include "standin/pool.h"

namespace hingelink::standin {

// Faults: break-links, hang, slow (`factor`), errors, remark (`factor` bytes). Throws std::runtime_error that
// names the entry and what is wrong with it.
std::vector<PoolFault> ParseFaults(const std::string& json);

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_FAULTS_H_
