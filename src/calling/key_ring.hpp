// The keys that tokens are verified with: coming, current, retiring, retired, revoked. Told whole sets; what
// a set no longer names retires from then on, and what was revoked stays so, whatever later sets say. No I/O;
// the time is an argument. Killed, it loses when unnamed keys began to retire: they are then unknown.
#pragma once
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "calling/refusal.hpp"
#include "tokens/keys.hpp"

namespace ashbeam::calling {

struct KeyRef {
  std::uint32_t slot = UINT32_MAX, made = 0;  // `made` tells a slot's keys apart
  bool operator==(const KeyRef&) const = default;
};

class KeyRing {
 public:
  struct Times {
    Span overlap, leeway;
    Span revoked_kept = Span::s(7 * 86400);  // longer than any token lives
  };
  struct Change {
    unsigned added = 0, back = 0, retiring = 0, revoked = 0, forgotten = 0;
    bool any() const { return added + back + retiring + revoked + forgotten > 0; }
  };
  static constexpr std::size_t kMost = 256;   // keys held, whatever their state
  static constexpr unsigned kMostOfName = 4;  // tried for one token: no kid makes us verify without bound

  explicit KeyRing(Times times) : times_(times) {}
  void times(Times times) { times_ = times; }

  // The set as it stands from `now` on. Over the bound the keys longest retired are let go, then new ones are
  // not taken, never a revoked one.
  Change told(std::span<const tokens::Listed> set, Instant now);

  // Calls back with each key of that name and algorithm, current ones before retiring ones; at most
  // kMostOfName. False where there is none.
  template <class What>
  bool each(std::string_view kid, tokens::Algorithm algorithm, What&& what) const {
    unsigned tried = 0;
    for (const bool listed : {true, false}) {
      for (std::uint32_t i = 0; i < held_.size() && tried < kMostOfName; ++i) {
        const Held& h = held_[i];
        if (!h.live || h.listed != listed || h.listed_as.kid != kid ||
            h.listed_as.key.algorithm() != algorithm)
          continue;
        ++tried;
        if (what(KeyRef{i, h.made})) return true;
      }
    }
    return tried > 0;
  }
  bool names(std::string_view kid) const;  // with whatever algorithm

  // Does this key's word count now for what it signed at `issued`? kNone, kRevoked, kRetired or kEarly.
  Refusal accepts(KeyRef key, Instant issued, Instant now) const;
  const tokens::Key& key(KeyRef ref) const { return held_[ref.slot].listed_as.key; }
  std::uint64_t epoch() const { return epoch_; }  // grows with each change
  std::size_t size() const;

 private:
  struct Held {
    tokens::Listed listed_as;
    Instant from, retired, revoked_at;
    bool live = false, listed = false, revoked = false;
    std::uint32_t made = 0;
  };
  const Held* find(KeyRef key) const {
    return key.slot < held_.size() && held_[key.slot].live && held_[key.slot].made == key.made
               ? &held_[key.slot]
               : nullptr;
  }
  bool over(const Held& h, Instant now) const;
  Held* place(Instant now);
  Times times_;
  std::vector<Held> held_;
  std::uint32_t made_ = 0;
  std::uint64_t epoch_ = 0;
};

}  // namespace ashbeam::calling
