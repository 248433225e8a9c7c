// Tables and charts of a series. Charts are drawn by gnuplot (Debian: gnuplot-nox).
#ifndef HINGELINK_LAB_SERIES_CHART_H_
#define HINGELINK_LAB_SERIES_CHART_H_

#include <string>
#include <vector>

#include "lab/series/store.h"

namespace hingelink::lab {

// A table of Markdown: a row a group, "median (least to most)" where a group has several runs.
std::string TableText(const std::vector<std::string>& by, const std::vector<std::string>& figures,
                      const std::vector<Group>& groups);
nlohmann::ordered_json TableJson(const std::vector<std::string>& by, const std::vector<std::string>& figures,
                                 const std::vector<Group>& groups);

struct Chart {
  std::string title, x_label, y_label, out;
  bool log_x = false, log_y = false;
};
// What gnuplot is given: the medians of the first figure over the first of `by`, which must be numbers, with
// bars from least to most, and a line for each value of the second. Throws std::invalid_argument that names
// what is no number.
std::string ChartScript(const Chart& chart, const std::vector<Group>& groups);
// Writes chart.out. Throws std::runtime_error: no gnuplot, or what it said.
void Draw(const Chart& chart, const std::vector<Group>& groups, const std::string& folder);

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SERIES_CHART_H_
