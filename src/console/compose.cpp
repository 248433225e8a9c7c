#include "console/compose.h"

#include <algorithm>
#include <cmath>

#include "console/text.h"

namespace hingelink::console {
namespace {

// A bar of the history, scaled to the largest value in it.
std::string Bars(const std::vector<double>& values, std::size_t width, bool utf8) {
  static constexpr const char* kBlocks[] = {" ", "▁", "▂", "▃", "▄", "▅", "▆", "▇", "█"};
  static constexpr const char* kAscii[] = {" ", ".", ":", "-", "=", "+", "*", "%", "#"};
  const std::size_t count = std::min(width, values.size());
  double top = 0;
  for (std::size_t i = values.size() - count; i < values.size(); ++i) top = std::max(top, values[i]);
  std::string out(width - count, ' ');
  for (std::size_t i = values.size() - count; i < values.size(); ++i) {
    // Anything above nothing shows.
    const double part = top > 0 ? values[i] / top : 0;
    const auto step = static_cast<std::size_t>(part > 0 ? std::max(1.0, std::round(part * 8)) : 0);
    out += utf8 ? kBlocks[step] : kAscii[step];
  }
  return out;
}

class Page {
 public:
  Page(std::size_t width, std::size_t height) : width_(width), height_(height) {}
  void Add(std::string_view text, Style style = Style::kPlain) {
    if (lines_.size() < height_) lines_.push_back({Fit(text, width_), style});
  }
  std::size_t left() const { return height_ - lines_.size(); }
  std::vector<Line> Take() {
    while (lines_.size() < height_) Add("");
    return std::move(lines_);
  }

 private:
  std::size_t width_, height_;
  std::vector<Line> lines_;
};

std::string Upper(std::string text) {
  for (char& c : text) c = c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  return text;
}

bool Shown(const Row& row, Filter filter) {
  switch (filter) {
    case Filter::kAll:
      return true;
    case Filter::kBusy:
      return row.held + row.running > 0;
    case Filter::kTrouble:
      break;
  }
  return row.refused + row.failed > 0;
}

std::string ClassLine(const Row& row, std::size_t width, const Stand& stand) {
  // name | held run | served refused failed | history
  const std::size_t figures = 5 * 6;
  const std::size_t bars = width >= 72 ? std::min<std::size_t>(Model::kHistory, width - 52) : 0;
  const std::size_t name = width > figures + bars + 1 ? width - figures - (bars > 0 ? bars + 1 : 0) : 8;
  std::string line = Fit(Safe(row.name, stand.utf8), std::min<std::size_t>(name, 24));
  for (const std::int64_t value : {row.held, row.running, row.served, row.refused, row.failed}) {
    line += ' ' + Fit(Count(static_cast<double>(value)), 5, true);
  }
  if (bars > 0) line += ' ' + Bars(row.history, std::min(bars, width - Cells(line) - 1), stand.utf8);
  return line;
}

void AddClasses(Page& page, const View& view, const Stand& stand, std::size_t width, std::size_t most) {
  const std::size_t figures = 5 * 6,
                    bars = width >= 72 ? std::min<std::size_t>(Model::kHistory, width - 52) : 0;
  const std::size_t name =
      std::min<std::size_t>(24, width > figures + bars + 1 ? width - figures - (bars > 0 ? bars + 1 : 0) : 8);
  std::string head = Fit("class", name) + "  held   run  srv/s ref/s fail/s";
  head = Fit("class", name);
  for (const char* title : {"held", "run", "srv/s", "ref/s", "fai/s"}) head += ' ' + Fit(title, 5, true);
  if (bars > 0) head += " served a second, last " + std::to_string(std::min(bars, Model::kHistory)) + " s";
  page.Add(head, Style::kHead);
  std::vector<const Row*> shown;
  for (const Row& row : view.classes) {
    if (Shown(row, stand.filter)) shown.push_back(&row);
  }
  // One line is the sum's, and one tells of what found no place.
  const std::size_t room = most > 2 ? most - 2 : 1;
  const std::size_t count = shown.size() <= room ? shown.size() : room - 1;
  for (std::size_t i = 0; i < count; ++i) {
    const Row& row = *shown[i];
    const Style style = row.failed > 0 ? Style::kBad : row.refused > 0 ? Style::kWarn : Style::kPlain;
    page.Add(ClassLine(row, width, stand), style);
  }
  if (count < view.classes.size()) {
    page.Add("  and " + std::to_string(view.classes.size() - count) + " more, in the sum", Style::kDim);
  }
  page.Add(ClassLine(view.sum, width, stand), Style::kHead);
}

std::string DrainLine(const View::Drain& drain, std::size_t width, bool utf8) {
  std::string line = " DRAINING  owed " + Count(static_cast<double>(drain.owed)) + "  at most " +
                     Span(drain.left_ms) + " left ";
  const std::size_t used = Cells(line);
  if (width > used + 4 && drain.of_ms > 0) {
    const std::size_t room = std::min<std::size_t>(30, width - used - 2);
    const auto full = static_cast<std::size_t>(
        std::round(std::clamp(1 - drain.left_ms / drain.of_ms, 0.0, 1.0) * static_cast<double>(room)));
    line += '[';
    for (std::size_t i = 0; i < room; ++i) line += i < full ? (utf8 ? "█" : "#") : (utf8 ? "░" : "-");
    line += ']';
  }
  return line;
}

void AddMembers(Page& page, const View& view, bool utf8) {
  if (!view.fleet) {
    page.Add(" this node was started without peers", Style::kDim);
    return;
  }
  page.Add(
      Fit(" member", 17) + Fit("state", 9) + Fit("heard", 9) + Fit("phase", 9) + Fit("zone", 9) + "address",
      Style::kHead);
  std::size_t shown = 0;
  for (const View::Member& m : view.members) {
    // One line is for what finds no place.
    if (page.left() <= 1 && shown + 1 < view.members.size()) break;
    const bool bad = m.held || m.state == "gone";
    page.Add(' ' + Fit(Safe(m.name, utf8), 15) + ' ' + Fit(m.held ? "HELD" : m.state, 8) + ' ' +
                 Fit(m.heard_ms < 0 ? "-" : Span(m.heard_ms), 8) + ' ' + Fit(m.phase, 8) + ' ' +
                 Fit(Safe(m.zone, utf8), 8) + ' ' + Safe(m.address, utf8),
             bad                    ? Style::kBad
             : m.state == "suspect" ? Style::kWarn
                                    : Style::kPlain);
    ++shown;
  }
  if (shown < view.members.size())
    page.Add(
        "  and " + std::to_string(view.members.size() - shown) + " more; hingelink fleet members has all",
        Style::kDim);
}

std::vector<Line> Help(std::size_t width, std::size_t height) {
  Page page(width, height);
  page.Add(" hingelink console: help", Style::kTitle);
  for (const char* line :
       {" q  leave the console; the node goes on", " d  drain: the node answers all it has read,",
        "    takes nothing new, and ends", " p  hold the picture still; the node goes on",
        " f  which classes are shown: all, busy, trouble", " m  the other nodes of the fleet, and back",
        " h  this page, and back", " held: wait to be run.  run: with the pool.",
        " srv, ref, fai: answers a second, mean of 5 s"}) {
    page.Add(line);
  }
  return page.Take();
}

}  // namespace

const char* FilterName(Filter filter) {
  switch (filter) {
    case Filter::kAll:
      return "all";
    case Filter::kBusy:
      return "busy";
    case Filter::kTrouble:
      break;
  }
  return "trouble";
}

std::vector<Line> Compose(const View& view, const Stand& stand, std::size_t width, std::size_t height) {
  if (width < kLeastWidth || height < kLeastHeight) {
    Page page(width, height);
    page.Add("too small:");
    page.Add("needs 40x10");
    return page.Take();
  }
  if (stand.help) return Help(width, height);
  Page page(width, height - 1);
  std::string title = " " + Safe(view.name.empty() ? "hingelink" : view.name, stand.utf8) + "  " +
                      (view.reached ? Upper(view.state) : "NO NODE");
  if (view.reached) title += view.ready ? "  ready" : "  not ready";
  if (view.reached) title += "  up " + Span(view.uptime_ms);
  if (view.generation > 0) title += "  start " + std::to_string(view.generation);
  if (stand.paused) title += "  PAUSED";
  page.Add(title, Style::kTitle);
  // A picture that is old must not be taken for a quiet node.
  const bool stale = view.reached && view.age_ms > 3000;
  if (stand.ask_drain) {
    page.Add(" Drain this node? It answers all it has read, then ends. y/n", Style::kWarn);
  } else if (!stand.notice.empty()) {
    page.Add(" " + Safe(stand.notice, stand.utf8), Style::kWarn);
  } else if (stale && !stand.paused) {
    page.Add(" no word from the node for " + Span(view.age_ms), Style::kBad);
  } else if (view.drain) {
    page.Add(DrainLine(*view.drain, width, stand.utf8), Style::kWarn);
  } else if (view.reached) {
    std::string links = std::string(" pool ") + (view.pool_good ? "up" : "DOWN");
    if (view.pool_busy) links += " " + std::to_string(std::lround(*view.pool_busy * 100)) + "% busy";
    links += std::string("  registry ") + (view.registry_good ? "up" : "DOWN");
    if (width >= 60) links += "  " + Count(static_cast<double>(view.connections)) + " connections";
    links += "  owed " + Count(static_cast<double>(view.owed));
    page.Add(links, view.pool_good && view.registry_good ? Style::kGood : Style::kBad);
  } else {
    page.Add(" waiting for a node", Style::kDim);
  }
  if (!view.loops.empty()) {
    // Connections and share of a core; a loop that hangs stands out.
    std::string loops = " loops";
    bool hung = false;
    for (const View::Loop& loop : view.loops) {
      hung = hung || loop.hung;
      loops += "  " + Count(static_cast<double>(loop.connections)) + " at ";
      loops += loop.hung ? "HANGS" : std::to_string(std::lround(loop.busy * 100)) + "%";
    }
    page.Add(loops, hung ? Style::kBad : Style::kPlain);
  }
  if (view.fleet) {
    const View::Fleet& fleet = *view.fleet;
    std::string line = " fleet  " + Count(static_cast<double>(fleet.alive)) + " alive";
    if (fleet.suspect > 0) line += "  " + Count(static_cast<double>(fleet.suspect)) + " suspect";
    if (fleet.gone > 0) line += "  " + Count(static_cast<double>(fleet.gone)) + " gone";
    if (fleet.cut_off) line += "  CUT OFF: view held";
    if (!fleet.linked) line += "  NO LINK";
    page.Add(line, fleet.cut_off || !fleet.linked ? Style::kBad
                   : fleet.suspect > 0            ? Style::kWarn
                                                  : Style::kPlain);
  }
  if (view.drain && (stand.ask_drain || !stand.notice.empty())) {
    page.Add(DrainLine(*view.drain, width, stand.utf8), Style::kWarn);
  }
  if (stand.members) AddMembers(page, view, stand.utf8);
  if (view.reached && !stand.members) {
    // Classes come first; gateways and log share what is left.
    const std::size_t gateways = height >= 16 && !view.gateways.empty()
                                     ? std::min<std::size_t>(view.gateways.size(), height / 6) + 1
                                     : 0;
    const std::size_t log = height >= 20 ? 4 : 0;
    AddClasses(page, view, stand, width, page.left() - std::min(page.left(), gateways + log) - 1);
    if (gateways > 0) {
      page.Add(Fit("gateway", 10) + "  open   req/s   ref/s" +
                   (view.gateways_known > view.gateways.size()
                        ? "  (" + std::to_string(view.gateways_known) + " known)"
                        : ""),
               Style::kHead);
      for (std::size_t i = 0; i + 1 < gateways; ++i) {
        const GatewayRow& row = view.gateways[i];
        page.Add(Fit("via " + std::to_string(row.via), 10) + ' ' +
                 Fit(Count(static_cast<double>(row.open)), 5, true) + "   " +
                 Fit(Count(static_cast<double>(row.requests)), 5, true) + "   " +
                 Fit(Count(static_cast<double>(row.refused)), 5, true));
      }
    }
    if (page.left() > 1 && !view.log.empty()) {
      page.Add(view.log_lost > 0 ? "log (" + std::to_string(view.log_lost) + " lines lost)" : "log",
               Style::kHead);
      const std::size_t count = std::min(page.left(), view.log.size());
      for (std::size_t i = view.log.size() - count; i < view.log.size(); ++i) {
        page.Add(Safe(view.log[i], stand.utf8), Style::kDim);
      }
    }
  }
  std::vector<Line> lines = page.Take();
  std::string keys = std::string(" q quit") + (stand.can_drain ? "  d drain" : "") + "  p pause  f " +
                     FilterName(stand.filter) + (view.fleet ? "  m members" : "") + "  h help";
  lines.push_back({Fit(keys, width), Style::kKeys});
  return lines;
}

}  // namespace hingelink::console
