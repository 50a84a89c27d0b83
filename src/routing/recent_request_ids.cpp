#include "routing/recent_request_ids.hpp"

#include <xxhash.h>

namespace ashbeam {

RecentRequestIds::Digest RecentRequestIds::digest_of(std::string_view id) const {
  return XXH3_64bits_withSeed(id.data(), id.size(), seed_);
}

RecentRequestIds::BeginResult RecentRequestIds::begin(Digest id, const Sender& sender, Instant now) {
  remove_expired(repeatable_, now);
  remove_expired(unrepeatable_, now);
  for (const EndedIds* const ended : {&repeatable_, &unrepeatable_}) {
    if (ended->find(id) != EndedIds::kNone) return BeginResult::kPresent;
  }
  if (in_flight_.find(id) != LruMap<Sender>::kNone) return BeginResult::kPresent;
  if (!sender.may_run_again) {
    if (!has_room_for(sender.client)) return BeginResult::kFull;
    set_count_of(sender.client, count_of(sender.client) + 1);
    ++unrepeatable_in_flight_;
  }
  in_flight_[in_flight_.insert(id)] = sender;
  return BeginResult::kStored;
}

void RecentRequestIds::end(Digest id, bool may_have_run, Instant now) {
  const auto index = in_flight_.find(id);
  if (index == LruMap<Sender>::kNone) return;
  const Sender sender = in_flight_[index];
  in_flight_.erase(index);
  if (!sender.may_run_again) --unrepeatable_in_flight_;
  if (!may_have_run) {
    if (!sender.may_run_again) set_count_of(sender.client, count_of(sender.client) - 1);
    return;
  }
  // begin() has left room for the id of a request that must not run twice.
  if (repeatable_.size() + unrepeatable_.size() >= max_ids_) remove_oldest(repeatable_);
  if (repeatable_.size() + unrepeatable_.size() >= max_ids_ && sender.may_run_again) return;
  EndedIds& ended = sender.may_run_again ? repeatable_ : unrepeatable_;
  ended[ended.insert(id)] = {now + retention_, sender.client};
}

void RecentRequestIds::remove_expired(EndedIds& ids, Instant now) {
  while (ids.size() > 0 && ids[ids.least_recent()].expiry <= now) remove_oldest(ids);
}

void RecentRequestIds::remove_oldest(EndedIds& ids) {
  const EndedIds::Index oldest = ids.least_recent();
  if (oldest == EndedIds::kNone) return;
  const std::uint64_t client = ids[oldest].client;
  ids.erase(oldest);
  if (&ids == &unrepeatable_) set_count_of(client, count_of(client) - 1);
}

bool RecentRequestIds::has_room_for(std::uint64_t client) const {
  return unrepeatable_.size() + unrepeatable_in_flight_ < max_ids_ && count_of(client) < max_ids_per_client_;
}

std::size_t RecentRequestIds::count_of(std::uint64_t client) const {
  const std::uint32_t count = counts_.find(client);
  return count == IndexMap::kNone ? 0 : count;
}

void RecentRequestIds::set_count_of(std::uint64_t client, std::size_t count) {
  if (count > 0) counts_.put(client, static_cast<std::uint32_t>(count));
  else counts_.erase(client);
}

}  // namespace ashbeam
