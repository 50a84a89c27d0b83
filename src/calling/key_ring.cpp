#include "calling/key_ring.hpp"

#include <algorithm>

namespace ashbeam::calling {

namespace {

Instant at_s(double s, Instant otherwise) {
  return s > 0 ? Instant::at_us(static_cast<std::int64_t>(s * 1e6)) : otherwise;
}

}  // namespace

bool KeyRing::over(const Held& h, Instant now) const {
  if (h.listed) return false;
  return h.revoked ? now - h.revoked_at > times_.revoked_kept : now > h.retired + times_.overlap;
}

KeyRing::Held* KeyRing::place(Instant now) {
  for (Held& h : held_) {
    if (!h.live) return &h;
  }
  if (held_.size() < kMost) {
    held_.emplace_back();
    return &held_.back();
  }
  Held* first = nullptr;
  for (Held& h : held_) {
    if (h.revoked || h.listed || h.retired > now) continue;
    if (!first || h.retired < first->retired) first = &h;
  }
  return first;
}

KeyRing::Change KeyRing::told(std::span<const tokens::Listed> set, Instant now) {
  Change change;
  for (Held& h : held_) {
    if (h.live && over(h, now)) h = Held{}, ++change.forgotten;
  }
  std::vector<bool> named(held_.size(), false);
  for (const tokens::Listed& l : set) {
    // A key is its name and its public bytes: another key under the same name is another key.
    const auto known = std::find_if(held_.begin(), held_.end(), [&](const Held& h) {
      return h.live && h.listed_as.kid == l.kid && h.listed_as.key.thumbprint() == l.key.thumbprint();
    });
    Held* h = known == held_.end() ? nullptr : &*known;
    const Instant from = at_s(l.from, Instant()), retired = at_s(l.retired, Instant::never());
    if (!h) {
      h = place(now);
      if (!h) continue;
      // The public bytes may have been revoked under another name.
      const auto revoked = std::find_if(held_.begin(), held_.end(), [&](const Held& o) {
        return o.live && o.revoked && o.listed_as.key.thumbprint() == l.key.thumbprint();
      });
      const bool barred = revoked != held_.end();
      const Instant since = barred ? revoked->revoked_at : Instant();
      *h = Held{};
      h->live = true;
      h->made = ++made_;
      h->listed_as = l;
      h->from = from;
      h->revoked = barred;
      h->revoked_at = since;
      ++change.added;
    } else if (!h->listed) {
      ++change.back;
    } else if (h->retired != retired) {
      ++change.retiring;
    }
    if (h->from != from) h->from = from, ++change.retiring;
    if (l.revoked && !h->revoked) h->revoked = true, h->revoked_at = now, ++change.revoked;
    h->retired = retired;
    h->listed = true;
    const auto at = static_cast<std::size_t>(h - held_.data());
    if (at >= named.size()) named.resize(at + 1, false);
    named[at] = true;
  }
  // Revoking is of the public bytes, whatever they are called.
  for (const Held& r : held_) {
    if (!r.live || !r.revoked) continue;
    for (Held& h : held_) {
      if (h.live && !h.revoked && h.listed_as.key.thumbprint() == r.listed_as.key.thumbprint())
        h.revoked = true, h.revoked_at = r.revoked_at, ++change.revoked;
    }
  }
  named.resize(held_.size(), false);
  for (std::size_t i = 0; i < held_.size(); ++i) {
    Held& h = held_[i];
    if (!h.live || !h.listed || named[i]) continue;
    h.listed = false;
    h.retired = std::min(h.retired, now);
    ++change.retiring;
  }
  if (change.any()) ++epoch_;
  return change;
}

bool KeyRing::names(std::string_view kid) const {
  return std::any_of(held_.begin(), held_.end(),
                     [&](const Held& h) { return h.live && h.listed_as.kid == kid; });
}

std::size_t KeyRing::size() const {
  return static_cast<std::size_t>(
      std::count_if(held_.begin(), held_.end(), [](const Held& h) { return h.live; }));
}

Refusal KeyRing::accepts(KeyRef key, Instant issued, Instant now) const {
  const Held* const h = find(key);
  if (!h) return Refusal::kRetired;
  if (h->revoked) return Refusal::kRevoked;
  if (now < h->from - times_.leeway || issued < h->from - times_.leeway) return Refusal::kEarly;
  // What it signed once it no longer should, or what comes too late after that.
  if (h->retired < Instant::never() &&
      (issued > h->retired + times_.leeway || now > h->retired + times_.overlap))
    return Refusal::kRetired;
  return Refusal::kNone;
}

}  // namespace ashbeam::calling
