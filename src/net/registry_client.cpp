#include "net/registry_client.h"

#include <utility>

#include "log/log.h"
#include "proto/registry_http.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// The registry removes a node that has not reported for 3 s. The intervals leave room for three reports and
// one failed report within that time.
constexpr auto kReportInterval = 700ms;
constexpr auto kRetryDelay = 150ms;
constexpr auto kResponseTimeout = 800ms;
constexpr int kNoContent = 204;

}  // namespace

RegistryClient::RegistryClient(event_base* base, const sockaddr_in& registry, std::string host,
                               std::string name)
    : base_(base),
      address_(registry),
      host_(std::move(host)),
      name_(std::move(name)),
      report_timer_(base, [this] { SendReport(); }),
      response_timer_(base, [this] { OnFailure("overdue"); }) {
  report_timer_.Start(0ms);
}

void RegistryClient::ReportDraining() {
  draining_ = true;
  report_after_response_ = awaiting_response_;
  if (!awaiting_response_) SendReport();
}

void RegistryClient::ChangeAddress(const sockaddr_in& registry, std::string host) {
  address_ = registry;
  host_ = std::move(host);
  CloseConnection("moved");
  response_timer_.Stop();
  awaiting_response_ = report_after_response_ = false;
  SendReport();
}

void RegistryClient::SendReport() {
  if (awaiting_response_) return;
  closed_bev_.reset();
  if (!bev_) Connect();
  if (!bev_) {
    report_timer_.Start(kRetryDelay);
    return;
  }
  awaiting_response_ = true;
  Send(bev_.get(), proto::EncodeReportRequest(name_, host_, draining_));
  response_timer_.Start(kResponseTimeout);
}

void RegistryClient::Connect() {
  bev_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  if (!bev_) return;
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<RegistryClient*>(self)->OnReadable(); }, nullptr,
      [](bufferevent* bev, short what, void* self) {
        if ((what & BEV_EVENT_CONNECTED) != 0) {
          SetNoDelay(bufferevent_getfd(bev));
          static_cast<RegistryClient*>(self)->connected_ = true;
        } else {
          static_cast<RegistryClient*>(self)->OnFailure((what & BEV_EVENT_EOF) != 0 ? "peer-closed"
                                                                                    : "reset");
        }
      },
      this);
  // Without the high priority, a flood of gateway events could delay reading the response past the timeout.
  bufferevent_priority_set(bev_.get(), kHighPriority);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, 2 * proto::kMaxHttpResponseBytes);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_) !=
      0) {
    OnFailure("no-connect");
  }
}

void RegistryClient::OnReadable() {
  const proto::HttpResponse response = proto::ParseHttpResponse(ReceivedBytes(bev_.get()));
  if (response.state == proto::HttpResponse::State::kNeedMore) return;
  if (response.state == proto::HttpResponse::State::kMalformed || !awaiting_response_) {
    OnFailure("bad-response");
    return;
  }
  Consume(bev_.get(), response.total_bytes);
  if (response.status >= 100 && response.status < 200) return OnReadable();
  if (response.status != kNoContent) {
    OnFailure("status");
    return;
  }
  if (last_report_failed_) log::Info("registry-report-recovered");
  last_report_failed_ = awaiting_response_ = false;
  has_succeeded_ = true;
  response_timer_.Stop();
  if (response.closes_connection) CloseConnection("response-closes");
  report_timer_.Start(report_after_response_ ? Steady::duration(0) : kReportInterval);
  report_after_response_ = false;
}

// Handles a failed report, or the end of an idle connection that the registry closed. Only a failed report is
// retried and logged.
void RegistryClient::OnFailure(const char* reason) {
  if (awaiting_response_ && !last_report_failed_) log::Warn("registry-report-failed", {{"reason", reason}});
  last_report_failed_ = last_report_failed_ || awaiting_response_;
  CloseConnection(reason);
  response_timer_.Stop();
  if (awaiting_response_) report_timer_.Start(kRetryDelay);
  awaiting_response_ = false;
}

void RegistryClient::CloseConnection(const char* reason) {
  if (!bev_) return;
  if (connected_) log::Info("registry-connection-end", {{"reason", reason}});
  connected_ = false;
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  closed_bev_ = std::move(bev_);
}

}  // namespace hingelink::net
