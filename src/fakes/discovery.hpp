// A stand-in for discovery: one list of hosts, watched over a chunked answer that stays open.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam::fakes {

struct Entry {
  std::string uid, endpoint, state = "up";
  unsigned build = 1;
  Instant booted;  // far past: long ago
};

class Discovery {
 public:
  Discovery(EventLoop& loop, const Limits& limits);
  ~Discovery();
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  void put(const Entry& entry);  // and tells all who watch
  std::string list() const;      // whole, in discovery's form

 private:
  class Watch;
  void tell(const std::string& line);
  std::string text(const Entry& entry) const;
  EventLoop& loop_;
  const Limits& limits_;
  unsigned rev_ = 1;
  std::map<std::string, Entry> entries_;
  std::vector<std::unique_ptr<Watch>> watches_;
  Timer alive_;
  Listener listener_;
};

}  // namespace ashbeam::fakes
