#include "fakes/release_platform.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace ashbeam::fakes {

namespace {

constexpr int kBacklog = 64;
constexpr Duration kKeepAliveInterval = Duration::s(1);
constexpr Duration kRollbackTime = Duration::s(1);
constexpr Duration kInitialAge = Duration::s(60);  // of the initial release

}  // namespace

const char* wire_name(ReleaseProgress progress) {
  switch (progress) {
    case ReleaseProgress::kCanary:
      return "trial";
    case ReleaseProgress::kRollingBack:
      return "rolling_back";
    case ReleaseProgress::kReleased:
      return "released";
    case ReleaseProgress::kWithdrawn:
      return "withdrawn";
  }
  return "";
}

// A connection of a router.
class ReleasePlatform::Client : private Connection::Owner {
 public:
  Client(ReleasePlatform& platform, int fd)
      : platform_(platform), connection_(platform.loop_, platform.limits_, *this, fd),
        lines_(platform.limits_.max_platform_line_bytes) {}

  void notify(const std::string& line) {
    if (subscribed_) connection_.write(line + "\n");
  }

 private:
  void on_data() override {
    const std::string bytes(connection_.unread());
    connection_.consume(bytes.size());
    const bool well_formed = lines_.feed(bytes, [this](std::string_view line) { return on_call(line); });
    if (!well_formed) on_closed();
  }

  // Returns false if the line is not a valid call.
  bool on_call(std::string_view line) {
    const auto call = Json::parse(line);
    if (!call || !call->is_object()) return false;
    const auto id = static_cast<std::uint64_t>(call->number("id", 0));
    if (call->text("method") == "subscribe") {
      subscribed_ = true;
      write_result(id, "true");
      notify(platform_.state_notification());
      return true;
    }
    const auto vote = call->member("params");
    if (!vote) return false;
    platform_.on_vote(static_cast<unsigned>(vote->number("image", 0)),
                      static_cast<unsigned>(vote->number("ring", 0)), vote->text("opinion"));
    write_result(id, platform_.state_json());
    return true;
  }

  void write_result(std::uint64_t id, const std::string& result) {
    connection_.write(R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"result":)" + result + "}\n");
  }

  void on_closed() override {
    auto& clients = platform_.clients_;
    const auto found = std::find_if(clients.begin(), clients.end(),
                                    [this](const auto& client) { return client.get() == this; });
    if (found == clients.end()) return;
    connection_.close();
    platform_.loop_.destroy_later(std::move(*found));
    clients.erase(found);
  }

  ReleasePlatform& platform_;
  Connection connection_;
  LineReader lines_;
  bool subscribed_ = false;
};

ReleasePlatform::ReleasePlatform(EventLoop& loop, const Limits& limits, std::vector<double> exposure_caps,
                                 OnChange on_change)
    : loop_(loop), limits_(limits), exposure_caps_(std::move(exposure_caps)),
      on_change_(std::move(on_change)), keep_alive_(loop,
                                                    [this] {
                                                      notify_clients(R"({"jsonrpc":"2.0","method":"ping"})");
                                                      keep_alive_.schedule_after(kKeepAliveInterval);
                                                    }),
      rollback_end_(loop, [this] { change(ReleaseProgress::kWithdrawn, state_.stage); }),
      listener_(loop, loopback_host() + ":0", kBacklog, [this](int fd) {
        if (fd >= 0) clients_.push_back(std::make_unique<Client>(*this, fd));
      }) {
  state_.since = loop.now() - kInitialAge;
  keep_alive_.schedule_after(kKeepAliveInterval);
}

ReleasePlatform::~ReleasePlatform() = default;

std::string ReleasePlatform::state_json() const {
  const std::int64_t age_ms = (loop_.now() - state_.since).us() / 1000;
  return R"({"image":)" + std::to_string(state_.version) + R"(,"ring":)" + std::to_string(state_.stage) +
         R"(,"progress":")" + wire_name(state_.progress) + R"(","ceiling":)" +
         std::to_string(state_.exposure_cap) + R"(,"lag_ms":)" + std::to_string(age_ms) + "}";
}

std::string ReleasePlatform::state_notification() const {
  return R"({"jsonrpc":"2.0","method":"ROLLOUT","params":)" + state_json() + "}";
}

void ReleasePlatform::notify_clients(const std::string& line) {
  for (const auto& client : clients_) client->notify(line);
}

void ReleasePlatform::start_release(unsigned version) {
  state_.version = version;
  change(ReleaseProgress::kCanary, 0);
}

void ReleasePlatform::change(ReleaseProgress progress, unsigned stage) {
  state_.progress = progress;
  state_.stage = stage;
  if (progress == ReleaseProgress::kCanary) state_.exposure_cap = exposure_caps_[stage];
  else state_.exposure_cap = progress == ReleaseProgress::kReleased ? 1 : 0;
  state_.since = loop_.now();
  notify_clients(state_notification());
  on_change_(state_);
}

void ReleasePlatform::on_vote(unsigned version, unsigned stage, const std::string& vote) {
  const bool is_current = version == state_.version && stage == state_.stage;
  if (!is_current || state_.progress != ReleaseProgress::kCanary) return;
  if (vote == "promote") {
    const bool is_last = stage + 1 >= exposure_caps_.size();
    if (is_last) change(ReleaseProgress::kReleased, stage);
    else change(ReleaseProgress::kCanary, stage + 1);
  } else if (vote == "abort") {
    change(ReleaseProgress::kRollingBack, stage);
    rollback_end_.schedule_after(kRollbackTime);
  }
}

}  // namespace ashbeam::fakes
