// A stand-in for the release desk with one voter: 'on' opens the next stage, 'back' sends the build back.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "protocol/json.hpp"
#include "protocol/lines.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam::fakes {

class ReleasePlatform {
 public:
  struct State {
    unsigned build = 1, stage = 0;
    std::string progress = "released";
    double cap = 1;
    Instant since;
  };
  ReleasePlatform(EventLoop& loop, const Limits& limits, std::vector<double> caps,
                  std::function<void(const State&)> changed);
  ~ReleasePlatform();
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  std::string news() const;  // as a JSON object
  void offer(unsigned build);
  const State& state() const { return state_; }

 private:
  class Link;
  void vote(unsigned build, unsigned stage, const std::string& opinion);
  void change(const std::string& progress, unsigned stage);
  EventLoop& loop_;
  const Limits& limits_;
  std::vector<double> caps_;
  std::function<void(const State&)> changed_;
  State state_;
  std::vector<std::unique_ptr<Link>> links_;
  Timer ping_, withdraw_;
  Listener listener_;
};

}  // namespace ashbeam::fakes
