#include "lab/series/chart.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

extern char** environ;

namespace hingelink::lab {
namespace {

// Three digits that count; whole numbers as they are.
std::string Short(double value) {
  char text[32];
  const double size = std::abs(value);
  const int digits = size >= 100 || value == std::round(value) ? 0 : size >= 10 ? 1 : size >= 1 ? 2 : 3;
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::string Cell(const Spread& spread) {
  if (spread.runs == 0) return "-";
  if (spread.runs == 1) return Short(spread.median);
  return Short(spread.median) + " (" + Short(spread.least) + " to " + Short(spread.most) + ")";
}

// Within single quotes of gnuplot, where a quote is written twice.
std::string Quoted(const std::string& text) {
  std::string out = "'";
  for (const char c : text) out += c == '\'' ? std::string("''") : std::string(1, c < ' ' ? ' ' : c);
  return out + "'";
}

}  // namespace

std::string TableText(const std::vector<std::string>& by, const std::vector<std::string>& figures,
                      const std::vector<Group>& groups) {
  std::ostringstream out;
  for (const std::string& name : by) out << "| " << name << ' ';
  out << "| runs ";
  for (const std::string& name : figures) out << "| " << name << ' ';
  out << "|\n";
  for (std::size_t i = 0; i < by.size() + 1 + figures.size(); ++i) out << "| --- ";
  out << "|\n";
  for (const Group& group : groups) {
    for (const std::string& value : group.by) out << "| " << value << ' ';
    std::size_t runs = 0;
    for (const Spread& spread : group.figures) runs = std::max(runs, spread.runs);
    out << "| " << runs << ' ';
    for (const Spread& spread : group.figures) out << "| " << Cell(spread) << ' ';
    out << "|\n";
  }
  return out.str();
}

nlohmann::ordered_json TableJson(const std::vector<std::string>& by, const std::vector<std::string>& figures,
                                 const std::vector<Group>& groups) {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const Group& group : groups) {
    nlohmann::ordered_json row;
    for (std::size_t i = 0; i < by.size(); ++i) row["by"][by[i]] = group.by[i];
    for (std::size_t i = 0; i < figures.size(); ++i) {
      const Spread& s = group.figures[i];
      row["figures"][figures[i]] = {
          {"runs", s.runs}, {"least", s.least}, {"median", s.median}, {"most", s.most}};
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string ChartScript(const Chart& chart, const std::vector<Group>& groups) {
  std::map<std::string, std::vector<std::pair<double, const Spread*>>> lines;
  for (const Group& group : groups) {
    double x = 0;
    const std::string& text = group.by.at(0);
    const auto read = std::from_chars(text.data(), text.data() + text.size(), x);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size())
      throw std::invalid_argument("found \"" + text + "\"; a chart wants numbers along x");
    if (group.figures.at(0).runs == 0) continue;
    lines[group.by.size() > 1 ? group.by[1] : ""].emplace_back(x, &group.figures[0]);
  }
  if (lines.empty()) throw std::invalid_argument("no run has this figure");
  std::ostringstream out;
  out << "set terminal svg size 640,400 font 'sans,12'\n"
      << "set output " << Quoted(chart.out) << "\n"
      << "set title " << Quoted(chart.title) << " noenhanced\n"
      << "set xlabel " << Quoted(chart.x_label) << " noenhanced\n"
      << "set ylabel " << Quoted(chart.y_label) << " noenhanced\n"
      << "set grid\nset key top left\n";
  if (chart.log_x) out << "set logscale x\n";
  if (chart.log_y) {
    out << "set logscale y\n";
  } else {
    out << "set yrange [0:*]\n";
  }
  std::size_t number = 0;
  for (const auto& [name, points] : lines) {
    out << "$line" << number++ << " << EOD\n";
    for (const auto& [x, spread] : points)
      out << x << ' ' << spread->median << ' ' << spread->least << ' ' << spread->most << '\n';
    out << "EOD\n";
  }
  out << "plot ";
  number = 0;
  for (const auto& [name, points] : lines) {
    const std::string title = name.empty() ? " notitle" : " title " + Quoted(name) + " noenhanced";
    out << (number > 0 ? ", " : "") << "$line" << number << " using 1:2:3:4 with yerrorbars lc " << number + 1
        << title << ", $line" << number << " using 1:2 with lines lc " << number + 1 << " notitle";
    ++number;
  }
  out << '\n';
  return out.str();
}

void Draw(const Chart& chart, const std::vector<Group>& groups, const std::string& folder) {
  const std::string script = folder + "/chart.gp", said = folder + "/chart.log";
  std::ofstream(script) << ChartScript(chart, groups);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 2, said.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
  std::string program = "gnuplot", argument = script;
  char* args[] = {program.data(), argument.data(), nullptr};
  pid_t pid = -1;
  const int code = posix_spawnp(&pid, "gnuplot", &actions, nullptr, args, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (code != 0) throw std::runtime_error("gnuplot is not there; it comes with Debian's gnuplot-nox");
  int status = 0;
  waitpid(pid, &status, 0);
  std::error_code gone;
  if (status != 0 || std::filesystem::file_size(chart.out, gone) == 0 || gone) {
    std::ifstream log(said);
    throw std::runtime_error(chart.out + ": not drawn. " +
                             std::string(std::istreambuf_iterator<char>(log), {}));
  }
}

}  // namespace hingelink::lab
