#include "net/registry_client.h"

#include <utility>

#include "log/log.h"
#include "proto/registry_http.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Three reports and a failure fit into the 3 s after which the registry takes a node off its list.
constexpr auto kPeriod = 700ms;
constexpr auto kRetry = 150ms;
constexpr auto kPatience = 800ms;
constexpr int kNoContent = 204;

}  // namespace

RegistryClient::RegistryClient(event_base* base, const sockaddr_in& registry, std::string host,
                               std::string name)
    : base_(base),
      address_(registry),
      host_(std::move(host)),
      name_(std::move(name)),
      next_(base, [this] { Report(); }),
      overdue_(base, [this] { Drop("overdue"); }) {
  next_.After(0ms);
}

void RegistryClient::ReportDraining() {
  draining_ = true;
  report_next_ = waiting_;
  if (!waiting_) Report();
}

// Not to be called from within the client's own callbacks.
void RegistryClient::ChangeAddress(const sockaddr_in& registry, std::string host) {
  address_ = registry;
  host_ = std::move(host);
  Retire("moved");
  overdue_.Stop();
  waiting_ = report_next_ = false;
  Report();
}

void RegistryClient::Report() {
  if (waiting_) return;
  dropped_.reset();
  if (!bev_) Connect();
  if (!bev_) {
    next_.After(kRetry);
    return;
  }
  waiting_ = true;
  Send(bev_.get(), proto::EncodeReportRequest(name_, host_, draining_));
  overdue_.After(kPatience);
}

void RegistryClient::Connect() {
  bev_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  if (!bev_) return;
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<RegistryClient*>(self)->Read(); }, nullptr,
      [](bufferevent* bev, short what, void* self) {
        if ((what & BEV_EVENT_CONNECTED) != 0) {
          SetNoDelay(bufferevent_getfd(bev));
          static_cast<RegistryClient*>(self)->connected_ = true;
        } else {
          static_cast<RegistryClient*>(self)->Drop((what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
        }
      },
      this);
  // Guards against an answer that counts as overdue because gateways flood the loop.
  bufferevent_priority_set(bev_.get(), kUrgent);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, 2 * proto::kMaxHttpResponseBytes);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_) !=
      0) {
    Drop("no-connect");
  }
}

void RegistryClient::Read() {
  const proto::HttpResponse response = proto::ParseHttpResponse(Arrived(bev_.get()));
  if (response.state == proto::HttpResponse::State::kNeedMore) return;
  if (response.state == proto::HttpResponse::State::kMalformed || !waiting_) {
    Drop("bad-response");
    return;
  }
  Consume(bev_.get(), response.total_bytes);
  if (response.status >= 100 && response.status < 200) return Read();
  if (response.status != kNoContent) {
    Drop("status");
    return;
  }
  if (failing_) log::Info("registry-reports-again");
  failing_ = waiting_ = false;
  reported_ = true;
  overdue_.Stop();
  if (response.closes_connection) Retire("response-closes");
  next_.After(report_next_ ? Steady::duration(0) : kPeriod);
  report_next_ = false;
}

// A call that failed, or an idle connection that the registry closed.
void RegistryClient::Drop(const char* reason) {
  if (waiting_ && !failing_) log::Warn("registry-report-failed", {{"reason", reason}});
  failing_ = failing_ || waiting_;
  Retire(reason);
  overdue_.Stop();
  if (waiting_) next_.After(kRetry);
  waiting_ = false;
}

void RegistryClient::Retire(const char* reason) {
  if (!bev_) return;
  if (connected_) log::Info("registry-connection-end", {{"reason", reason}});
  connected_ = false;
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  dropped_ = std::move(bev_);
}

}  // namespace hingelink::net
