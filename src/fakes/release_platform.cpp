#include "fakes/release_platform.hpp"

#include <algorithm>

namespace ashbeam::fakes {

class ReleasePlatform::Link : private Connection::Owner {
 public:
  Link(ReleasePlatform& desk, int fd)
      : desk_(desk), connection_(desk.loop_, desk.limits_, *this, fd),
        lines_(desk.limits_.max_platform_line_bytes) {}
  void say(const std::string& line) {
    if (subscribed_) connection_.write(line + "\n");
  }

 private:
  void on_data() override {
    const std::string bytes(connection_.unread());
    connection_.consume(bytes.size());
    const bool good = lines_.feed(bytes, [this](std::string_view line) { return call(line); });
    if (!good) on_closed();
  }
  bool call(std::string_view line) {
    const auto whole = Json::parse(line);
    if (!whole || !whole->is_object()) return false;
    const std::string id = std::to_string(static_cast<std::uint64_t>(whole->number("id", 0)));
    const auto params = whole->member("params");
    const auto answer = [&](const std::string& result) {
      connection_.write(R"({"jsonrpc":"2.0","id":)" + id + R"(,"result":)" + result + "}\n");
    };
    if (whole->text("method") == "subscribe") {
      subscribed_ = true;
      answer("true");
      say(R"({"jsonrpc":"2.0","method":"ROLLOUT","params":)" + desk_.news() + "}");
      return true;
    }
    if (!params) return false;
    desk_.vote(static_cast<unsigned>(params->number("image", 0)),
               static_cast<unsigned>(params->number("ring", 0)), params->text("opinion"));
    answer(desk_.news());
    return true;
  }
  void on_closed() override {
    auto& all = desk_.links_;
    const auto at = std::find_if(all.begin(), all.end(), [this](const auto& l) { return l.get() == this; });
    if (at == all.end()) return;
    connection_.close();
    desk_.loop_.destroy_later(std::move(*at));
    all.erase(at);
  }
  ReleasePlatform& desk_;
  Connection connection_;
  LineReader lines_;
  bool subscribed_ = false;
};

ReleasePlatform::ReleasePlatform(EventLoop& loop, const Limits& limits, std::vector<double> caps,
                                 std::function<void(const State&)> changed)
    : loop_(loop), limits_(limits), caps_(std::move(caps)), changed_(std::move(changed)),
      ping_(loop,
            [this] {
              for (const auto& link : links_) link->say(R"({"jsonrpc":"2.0","method":"ping"})");
              ping_.in(Span::s(1));
            }),
      withdraw_(loop, [this] { change("withdrawn", state_.stage); }),
      listener_(loop, "127.0.0.1:0", 64, [this](int fd) {
        if (fd >= 0) links_.push_back(std::make_unique<Link>(*this, fd));
      }) {
  state_.since = loop.now() - Span::s(60);
  ping_.in(Span::s(1));
}

ReleasePlatform::~ReleasePlatform() = default;

std::string ReleasePlatform::news() const {
  return R"({"image":)" + std::to_string(state_.build) + R"(,"ring":)" + std::to_string(state_.stage) +
         R"(,"progress":")" + state_.progress + R"(","ceiling":)" + std::to_string(state_.cap) +
         R"(,"lag_ms":)" + std::to_string((loop_.now() - state_.since).us() / 1000) + "}";
}

void ReleasePlatform::offer(unsigned build) {
  state_.build = build;
  change("trial", 0);
}

void ReleasePlatform::change(const std::string& progress, unsigned stage) {
  state_.progress = progress;
  state_.stage = stage;
  state_.cap = progress == "trial" ? caps_[stage] : progress == "released" ? 1 : 0;
  state_.since = loop_.now();
  for (const auto& link : links_)
    link->say(R"({"jsonrpc":"2.0","method":"ROLLOUT","params":)" + news() + "}");
  changed_(state_);
}

void ReleasePlatform::vote(unsigned build, unsigned stage, const std::string& opinion) {
  if (build != state_.build || stage != state_.stage || state_.progress != "trial") return;
  if (opinion == "promote") {
    const bool last = stage + 1 >= caps_.size();
    change(last ? "released" : "trial", last ? stage : stage + 1);
  } else if (opinion == "abort") {
    change("rolling_back", stage);
    withdraw_.in(Span::s(1));
  }
}

}  // namespace ashbeam::fakes
