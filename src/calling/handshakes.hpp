// How much of the machine TLS handshakes may take: so many under way, so much CPU a second. Decides alone; no
// I/O, the time is an argument. Guards against handshake floods, which cost us more than their sender.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "calling/quota.hpp"

namespace ashbeam::calling {

class Handshakes {
 public:
  using Id = std::uint64_t;
  static constexpr Id kNone = 0;
  // `cpu`: seconds of CPU a second, of which a tenth may be used at once.
  Handshakes(std::size_t most, double cpu, Span young) : most_(most), cpu_(cpu, cpu / 10), young_(young) {}
  void limits(std::size_t most, double cpu) { most_ = most, cpu_ = Budget(cpu, cpu / 10); }

  struct Begun {
    Id id = kNone;         // kNone: there is no room for this one
    Id gives_way = kNone;  // this one is to be ended
  };
  // At the bound the one that has kept us waiting for its bytes longest gives way, if it is no longer young:
  // who means it answers within a round trip or two.
  Begun begin(Instant now) {
    Begun b;
    if (under_way_.size() >= most_) {
      const auto out = std::find_if(under_way_.begin(), under_way_.end(),
                                    [&](const One& o) { return !o.waits_for_us && now - o.since > young_; });
      if (out == under_way_.end()) return b;
      b.gives_way = out->id;
      under_way_.erase(out);
    }
    b.id = ++last_;
    under_way_.push_back({b.id, now, false});
    return b;
  }
  void over(Id id) {
    std::erase_if(under_way_, [id](const One& o) { return o.id == id; });
    std::erase(waiting_, id);
  }
  // May this one's next step be computed now? If not it waits for us, and is named by next() some time later.
  bool may_go_on(Id id, Instant now) {
    const bool may = cpu_.wait(now) <= Span();
    if (may) std::erase(waiting_, id);
    else if (std::find(waiting_.begin(), waiting_.end(), id) == waiting_.end()) waiting_.push_back(id);
    for (One& o : under_way_) {
      if (o.id == id) o.waits_for_us = !may, o.since = now;
    }
    return may;
  }
  void spent(Span cpu, Instant now) { cpu_.spend(now, cpu.s()); }
  Span wait(Instant now) const { return cpu_.wait(now); }
  // The one that began to wait last goes first: when there are more than can be served, those served are
  // still in time, where the others would be too late one by one.
  Id next(Instant now) {
    if (waiting_.empty() || cpu_.wait(now) > Span()) return kNone;
    const Id id = waiting_.back();
    waiting_.pop_back();
    return id;
  }
  bool any_waiting() const { return !waiting_.empty(); }
  std::size_t under_way() const { return under_way_.size(); }

 private:
  struct One {
    Id id;
    Instant since;
    bool waits_for_us;
  };
  std::size_t most_;
  Budget cpu_;
  Span young_;
  std::vector<One> under_way_;  // in the order of their beginning
  std::vector<Id> waiting_;
  Id last_ = kNone;
};

}  // namespace ashbeam::calling
