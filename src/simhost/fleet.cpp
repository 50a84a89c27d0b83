#include "simhost/fleet.hpp"

#include <cmath>
#include <string>

#include "terms/terms.hpp"

namespace ashbeam::simhost {

namespace {

enum EventCode : std::uint8_t {
  kStart = 1,
  kRosterChange,
  kAccept,
  kOpened,
  kResponse,
  kExpired,
  kWake,
  kChecked,
  kMessage,
  kHalt,
  kReleaseState,
  kMetrics,
  kDisputed,
  kSheet,
  kSelect
};
enum ActionCode : std::uint8_t {
  kTransmit = 1,
  kTurnAway,
  kDropRequest,
  kWithdraw,
  kWakeAt,
  kAskLoad,
  kReleaseIdle,
  kWritePeer,
  kPrint,
  kFatal,
  kFollow,
  kReload,
  kBallot,
  kSpeaking
};
constexpr std::size_t kEntryBytes = 27;

AttemptResult result_of(std::uint16_t verdict, const Reader& in) {
  switch (verdict) {
    case 200:
      return AttemptResult::kOk;
    case 502:
      return AttemptResult::kError;
    case 429:
      return AttemptResult::kRejected;
    case 408:
      return AttemptResult::kTimeout;
    case 521:
      return AttemptResult::kConnectFailed;
    case 520:
      return AttemptResult::kReset;
    case 444:
      return AttemptResult::kCancelled;
    case 409:
      return AttemptResult::kCancelledBeforeSent;
    default:
      in.fail("unknown verdict " + std::to_string(verdict));
  }
}

VoteOutcome answer_of(std::uint16_t verdict, const Reader& in) {
  switch (verdict) {
    case 200:
      return VoteOutcome::kAccepted;
    case 409:
      return VoteOutcome::kConditionFailed;
    case 429:
      return VoteOutcome::kThrottled;
    case 502:
      return VoteOutcome::kFailed;
    case 408:
      return VoteOutcome::kUnknown;
    default:
      in.fail("unknown vote verdict " + std::to_string(verdict));
  }
}

}  // namespace

// One router with its door: the wire's host addresses become small indices here.
class Fleet::Instance : public RouterActions {
 public:
  Instance(std::uint32_t who, Writer*& reply, const Instance*& speaking)
      : who_(who), reply_(reply), speaking_(speaking) {}

  bool running() const { return router_ != nullptr; }
  RouterPolicy& router() { return *router_; }
  void start(const RouterSettings& terms, std::uint64_t seed) {
    addresses_.clear();
    indices_ = IndexMap();
    router_ = make_router_policy(terms, seed, *this);
  }
  void halt() { router_.reset(); }
  EndpointIndex index_of(std::uint64_t address) {
    std::uint32_t i = indices_.find(address);
    if (i == IndexMap::kNone) {
      i = static_cast<std::uint32_t>(addresses_.size());
      addresses_.push_back(address);
      indices_.put(address, i);
    }
    return i;
  }
  bool knows(std::uint64_t address) const { return indices_.find(address) != IndexMap::kNone; }

  void send_attempt(RequestId hit, EndpointIndex host) override {
    say(kTransmit).u32(hit);
    reply_->address(addresses_[host]);
    reply_->f64(0);  // as long as the client waits
  }
  void reject(RequestId hit, Span retry_after) override {
    say(kTurnAway).u32(hit);
    reply_->f64(retry_after.ms());
  }
  void fail(RequestId hit) override { say(kDropRequest).u32(hit); }
  void cancel_attempt(RequestId hit, unsigned leg) override {
    say(kWithdraw).u32(hit);
    reply_->u8(static_cast<std::uint8_t>(leg));
  }
  void schedule_wakeup(Span from_now, std::uint64_t token) override {
    say(kWakeAt).f64(from_now.ms());
    reply_->u64(token);
  }
  void watch_endpoints() override { say(kFollow).u8(1); }
  void cast_vote(ReleaseVersion build, unsigned stage, Vote vote) override {
    say(kBallot).u16(static_cast<std::uint16_t>(build));
    reply_->u8(static_cast<std::uint8_t>(stage));
    reply_->u8(static_cast<std::uint8_t>(vote));
  }
  void log(std::string_view line) override { note(kPrint, line); }
  void fault(std::string_view line) { note(kFatal, line); }

 private:
  void note(ActionCode code, std::string_view line) {
    line = line.substr(0, 60000);
    say(code).text({reinterpret_cast<const std::uint8_t*>(line.data()), line.size()});
  }
  Writer& say(ActionCode code) {
    if (speaking_ != this) {
      reply_->u8(kSpeaking);
      reply_->u32(who_);
      speaking_ = this;
    }
    reply_->u8(code);
    return *reply_;
  }
  std::uint32_t who_;
  Writer*& reply_;
  const Instance*& speaking_;
  std::vector<std::uint64_t> addresses_;
  IndexMap indices_;
  std::unique_ptr<RouterPolicy> router_;
};

Fleet::Fleet() = default;
Fleet::~Fleet() = default;

void Fleet::handle(double clock_ms, std::uint32_t records, std::span<const std::uint8_t> batch,
                   Writer& reply) {
  reply_ = &reply;
  speaking_ = nullptr;
  const Instant now = Instant::at_ms(clock_ms);
  Reader in(batch);
  Instance* current = nullptr;
  std::uint32_t who = 0;
  for (std::uint32_t n = 0; n < records; ++n) {
    const std::uint8_t code = in.u8();
    if (code == kSelect) {
      who = in.u32();
      auto& place = instances_[who];
      if (!place) place = std::make_unique<Instance>(who, reply_, speaking_);
      current = place.get();
    } else if (code == kSheet) {
      const std::uint8_t buffer = in.u8();
      if (buffer >= sheets_.size()) in.fail("list buffer " + std::to_string(buffer) + " out of range");
      const auto rows = in.bytes(std::size_t{in.u32()} * kEntryBytes);
      sheets_[buffer].assign(rows.begin(), rows.end());
    } else {
      if (code == 0 || code > kSelect) in.fail("unknown event code " + std::to_string(code));
      if (!current) in.fail("event before any Select");
      one_event(in, code, *current, now);
    }
  }
  if (!in.done()) in.fail("bytes left over after the last record");
}

void Fleet::one_event(Reader& in, std::uint8_t code, Instance& to, Instant now) {
  const auto read_report = [&] {
    report_.resize(in.u8());
    for (float& v : report_) v = in.f32();
  };
  // Fields are read in full before the call: a record is decoded even where nobody is left to hear it.
  const auto call = [&](auto&& deliver) {
    if (!to.running()) return;
    try {
      to.router().set_time(now);
      deliver(to.router());
    } catch (const std::exception& e) {
      to.fault(e.what());
    }
  };
  switch (code) {
    case kStart: {
      const std::uint64_t seed = in.u64();
      const auto text = in.bytes(in.u32());
      to.start(read_router_settings(SettingsMap({reinterpret_cast<const char*>(text.data()), text.size()})),
               seed);
      call([&](RouterPolicy& r) { r.start(); });
      break;
    }
    case kRosterChange: {
      const std::uint8_t mode = in.u8();
      in.u32();
      const std::uint8_t buffer = in.u8();
      if (mode > 3) in.fail("unknown list mode " + std::to_string(mode));
      if (mode == 3) {
        call([&](RouterPolicy& r) { r.on_endpoint_watch_failed(); });
        break;
      }
      if (buffer >= sheets_.size()) in.fail("list buffer " + std::to_string(buffer) + " out of range");
      call([&](RouterPolicy& r) {
        r.begin_endpoint_update(mode != 0);
        Reader rows(sheets_[buffer]);
        while (!rows.done()) {
          const EndpointIndex host = to.index_of(rows.address());
          const std::uint8_t zone = rows.u8();
          const float build = rows.f32();
          const std::uint8_t kind = rows.u8();
          const std::uint16_t cell = rows.u16();
          const std::uint8_t state = rows.u8();
          rows.f32();
          const double start = rows.f64();
          EndpointUpdate update;
          update.endpoint = host;
          update.state = state == 1   ? EndpointState::kReady
                         : state == 2 ? EndpointState::kDraining
                                      : EndpointState::kRemoved;
          update.version = static_cast<ReleaseVersion>(std::lround(build));
          update.zone = zone;
          update.cell = cell;
          update.machine_type = kind;
          update.started_at = start > 0 ? Instant::at_ms(start) : Instant();
          r.update_endpoint(update);
        }
        r.end_endpoint_update();
      });
      break;
    }
    case kAccept: {
      const RequestId hit = in.u32();
      in.u8();
      const double give_up = in.f64();
      in.f64();
      const std::uint16_t customer = in.u16();
      const std::uint64_t key = in.u64();
      const std::uint8_t group = in.u8();
      RequestArrival arrival;
      arrival.request = hit;
      arrival.request_class = group;
      arrival.tenant = customer;
      arrival.sticky_key = key;
      arrival.deadline = Instant::at_ms(give_up);
      call([&](RouterPolicy& r) { r.on_request(arrival); });
      break;
    }
    case kOpened: {
      in.u32();
      in.u8();
      in.address();
      in.f64();
      break;
    }
    case kResponse: {
      const RequestId hit = in.u32();
      const std::uint8_t leg = in.u8();
      const std::uint64_t host = in.address();
      const AttemptResult result = result_of(in.u16(), in);
      const double took = in.f64();
      const bool terminal = in.u8() != 0;
      read_report();
      if (!to.knows(host)) break;
      AttemptEnd end;
      end.request = hit;
      end.attempt = leg;
      end.endpoint = to.index_of(host);
      end.result = result;
      end.duration = Span::ms(took);
      end.answered_client = terminal;
      call([&](RouterPolicy& r) { r.on_attempt_end(end); });
      break;
    }
    case kExpired: {
      const RequestId hit = in.u32();
      call([&](RouterPolicy& r) { r.on_client_disconnect(hit); });
      break;
    }
    case kWake: {
      const std::uint64_t token = in.u64();
      call([&](RouterPolicy& r) { r.on_wakeup(token); });
      break;
    }
    case kChecked: {
      in.u16();
      in.address();
      in.f64();
      read_report();
      break;
    }
    case kMessage: {
      in.u32();
      in.bytes(in.u16());
      break;
    }
    case kHalt:
      to.halt();
      break;
    case kReleaseState: {
      const std::uint16_t build = in.u16();
      const std::uint8_t stage = in.u8();
      const std::uint8_t phase = in.u8();
      const bool asked = in.u8() != 0;
      const VoteOutcome answer = answer_of(in.u16(), in);
      const float cap = in.f32();
      const double age = in.f64();
      if (phase > 3) in.fail("unknown release phase " + std::to_string(phase));
      if (asked && answer != VoteOutcome::kAccepted) {
        call([&](RouterPolicy& r) { r.on_vote_refused(answer); });
        break;
      }
      ReleaseState state;
      state.version = build;
      state.stage = stage;
      state.phase = static_cast<ReleasePhase>(phase);
      state.exposure_cap = static_cast<double>(cap);
      state.age = Span::ms(age);
      call([&](RouterPolicy& r) { r.on_release_state(state); });
      break;
    }
    case kMetrics: {
      in.f64();
      const std::uint16_t build = in.u16();
      const std::uint32_t count = in.u32();
      const std::uint32_t lost = in.u32();
      in.f64();
      const std::uint8_t group = in.u8();
      const OutcomeSample sample{build, group, count, lost};
      call([&](RouterPolicy& r) { r.on_outcome_sample(sample); });
      break;
    }
    case kDisputed: {
      const std::uint64_t host = in.address();
      in.u8();
      const double since = in.f64();
      if (!to.knows(host)) break;
      const DisputedAnswer disputed{to.index_of(host), Span::ms(since)};
      call([&](RouterPolicy& r) { r.on_disputed_answer(disputed); });
      break;
    }
    default:
      in.fail("unknown event code " + std::to_string(code));
  }
}

}  // namespace ashbeam::simhost
