#include "fakes/discovery.hpp"

#include <algorithm>
#include <cstdio>

namespace ashbeam::fakes {

class Discovery::Watch : private Connection::Owner {
 public:
  Watch(Discovery& discovery, int fd)
      : discovery_(discovery), connection_(discovery.loop_, discovery.limits_, *this, fd) {}
  void tell(const std::string& line) {
    if (!asked_) return;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    connection_.write(size + line + "\n\r\n");
  }

 private:
  void on_data() override {
    const bool whole = connection_.unread().find("\r\n\r\n") != std::string_view::npos;
    if (!whole || asked_) return;
    connection_.consume(connection_.unread().size());
    asked_ = true;
    connection_.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    tell(discovery_.list());
  }
  void on_closed() override {
    auto& all = discovery_.watches_;
    const auto at = std::find_if(all.begin(), all.end(), [this](const auto& w) { return w.get() == this; });
    discovery_.loop_.destroy_later(std::move(*at));
    all.erase(at);
  }
  Discovery& discovery_;
  Connection connection_;
  bool asked_ = false;
};

Discovery::Discovery(EventLoop& loop, const Limits& limits)
    : loop_(loop), limits_(limits), alive_(loop,
                                           [this] {
                                             tell("");
                                             alive_.in(Span::s(2));
                                           }),
      listener_(loop, "127.0.0.1:0", 64, [this](int fd) {
        if (fd >= 0) watches_.push_back(std::make_unique<Watch>(*this, fd));
      }) {
  alive_.in(Span::s(2));
}

Discovery::~Discovery() = default;

std::string Discovery::text(const Entry& e) const {
  const std::int64_t booted = std::max<std::int64_t>(0, e.booted.us() / 1000);
  return R"({"uid":")" + e.uid + R"(","endpoint":")" + e.endpoint +
         R"(","az":"one","model":"usual","pod_group":1,"state":")" + e.state +
         R"(","capacity_hint":1.0,"boot_ms":)" + std::to_string(booted) + R"(,"release":)" +
         std::to_string(e.build) + "}";
}

std::string Discovery::list() const {
  std::string all = R"({"rev":)" + std::to_string(rev_) + R"(,"all":true,"targets":[)";
  for (const auto& [uid, entry] : entries_) all.append(all.back() == '[' ? "" : ",").append(text(entry));
  return all + "]}";
}

void Discovery::put(const Entry& entry) {
  entries_[entry.uid] = entry;
  ++rev_;
  tell(R"({"rev":)" + std::to_string(rev_) + R"(,"all":false,"targets":[)" + text(entry) + "]}");
}

void Discovery::tell(const std::string& line) {
  for (const auto& watch : watches_) watch->tell(line);
}

}  // namespace ashbeam::fakes
