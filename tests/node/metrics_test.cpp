// Tests of the metrics text. Operators' tools read the names, labels, order and values of the samples.
#include "node/metrics.h"

#include <gtest/gtest.h>

namespace hingelink::node {
namespace {

TEST(Metrics, TextHasTheExpectedNamesLabelsAndOrder) {
  Metrics metrics({{.name = "usage-view"}, {.name = "odd\"\\\nname"}}, 2);
  ++metrics.CountsFor("usage-view", 0)->served;
  metrics.CountsFor("usage-view", 1)->served += 11;
  ++metrics.CountsFor("usage-view", 1)->rejected;
  metrics.CountExecution();
  metrics.CountReload(true);
  EXPECT_EQ(metrics.Text(3, {}),
            "# HELP edge_node_calls Requests answered, by class and outcome.\n"
            "# TYPE edge_node_calls counter\n"
            "edge_node_calls{tier=\"usage-view\",code=\"success\"} 12\n"
            "edge_node_calls{tier=\"usage-view\",code=\"busy\"} 1\n"
            "edge_node_calls{tier=\"usage-view\",code=\"failure\"} 0\n"
            "edge_node_calls{tier=\"odd\\\"\\\\\\nname\",code=\"success\"} 0\n"
            "edge_node_calls{tier=\"odd\\\"\\\\\\nname\",code=\"busy\"} 0\n"
            "edge_node_calls{tier=\"odd\\\"\\\\\\nname\",code=\"failure\"} 0\n"
            "# HELP edge_node_backend_calls Runs handed to the worker pool.\n"
            "# TYPE edge_node_backend_calls counter\n"
            "edge_node_backend_calls 1\n"
            "# HELP edge_node_inflight Requests taken and not ended.\n"
            "# TYPE edge_node_inflight gauge\n"
            "edge_node_inflight 3\n"
            "# HELP edge_node_reconfig_ok Configuration files taken at SIGHUP.\n"
            "# TYPE edge_node_reconfig_ok counter\n"
            "edge_node_reconfig_ok 1\n"
            "# HELP edge_node_reconfig_failed Configuration files turned down at SIGHUP.\n"
            "# TYPE edge_node_reconfig_failed counter\n"
            "edge_node_reconfig_failed 0\n");
}

TEST(Metrics, LargeCountsAreWrittenAsWholeNumbers) {
  Metrics metrics({{.name = "usage-view"}}, 1);
  metrics.CountsFor("usage-view")->served += 1'234'567'890'123;
  EXPECT_NE(metrics.Text(0, {}).find("code=\"success\"} 1234567890123\n"), std::string::npos);
}

TEST(Metrics, LoopLabelsStartAtOne) {
  Metrics metrics({{.name = "usage-view"}}, 2);
  LoopSnapshot busy;
  busy.cpu_fraction = 0.25;
  busy.connections = 7;
  const std::string text = metrics.Text(0, {busy, {}});
  EXPECT_NE(text.find("# TYPE edge_node_loop_busy gauge\nedge_node_loop_busy{loop=\"1\"} 0.25\n"
                      "edge_node_loop_busy{loop=\"2\"} 0\n"),
            std::string::npos);
  EXPECT_NE(text.find("edge_node_loop_connections{loop=\"1\"} 7\n"), std::string::npos);
  EXPECT_NE(text.find("# TYPE edge_node_loop_connections_taken counter\n"), std::string::npos);
}

}  // namespace
}  // namespace hingelink::node
