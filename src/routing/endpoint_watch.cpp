#include "routing/endpoint_watch.hpp"

#include "base/pcg.hpp"

namespace ashbeam {

namespace {

EndpointWatchFailure failure_of(const WatchEnd& end) {
  if (end.reason == WatchEndReason::kLocalFailure) return EndpointWatchFailure::kLocal;
  return end.unavailable ? EndpointWatchFailure::kUnavailable : EndpointWatchFailure::kOther;
}

}  // namespace

EndpointWatch::EndpointWatch(RouterContext& context, const std::string& discovery_address,
                             EndpointRegistry& registry, EndpointListLease& lease, Readiness& readiness)
    : context_(context), registry_(registry), lease_(lease), readiness_(readiness),
      discovery_(context.loop, context.limits, discovery_address, context.detail_log, *this),
      first_call_timer_(context.loop, [this] { watch(); }) {}

void EndpointWatch::apply_configured_list(const std::string& list) {
  if (list.empty() || discovery_.apply_list(list)) return;
  context_.log("endpoint list: ignored the configured list, which is invalid or has an invalid entry");
}

void EndpointWatch::start(std::uint64_t seed) {
  started_ = true;
  first_call_timer_.schedule_after(context_.limits.max_initial_poll_delay * Pcg(seed).next_double());
}

// The watch is started after the current callback has returned, because the routing policy may ask for it
// while it handles an event of the discovery client, which must not be called then.
void EndpointWatch::watch() {
  if (started_) context_.loop.post([this] { discovery_.watch(); });
}

void EndpointWatch::change_address(const std::string& discovery_address) {
  if (discovery_address == discovery_.address()) return;
  lease_.on_discovery_moved();
  discovery_.change_address(discovery_address);
}

void EndpointWatch::on_endpoint_list(const EndpointList& list) {
  registry_.apply(list);
  if (lost_watches_ > 0)
    context_.log("discovery: watch established again, watches ended before: " +
                 std::to_string(lost_watches_));
  lost_watches_ = 0;
}

void EndpointWatch::on_list_confirmed() {
  lease_.on_list_confirmed();
  readiness_.on_list_confirmed();
}

void EndpointWatch::on_call_accepted() { lease_.on_call_accepted(); }

void EndpointWatch::on_line_started() { lease_.on_line_started(); }

void EndpointWatch::on_watch_ended(const WatchEnd& end) {
  lease_.on_watch_ended(end);
  if (lost_watches_++ == 0) context_.log(std::string("discovery: watch ended: ") + name_of(end.reason));
  if (end.replaced) return;
  context_.policy.at_now().on_endpoint_watch_failed(failure_of(end));
}

}  // namespace ashbeam
