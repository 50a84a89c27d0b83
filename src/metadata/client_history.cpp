#include "metadata/client_history.hpp"

#include <algorithm>

namespace ashbeam::metadata {

namespace {

// Combines client and repository into one key. The map hashes the key once more.
std::uint64_t client_key(std::uint32_t repository, std::uint64_t client) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;  // 2^64 divided by the golden ratio
  return (client ^ (client >> 32U)) * kMultiplier + repository;
}

}  // namespace

ClientHistory::ClientHistory(std::size_t repositories, std::size_t max_clients)
    : max_clients_(std::max<std::size_t>(1, max_clients)), newest_evicted_(repositories) {}

ServedVersion ClientHistory::newest_served(std::uint32_t repository, std::uint64_t client) {
  const auto index = clients_.find(client_key(repository, client));
  return index == LruMap<Client>::kNone ? newest_evicted_[repository] : clients_[index].newest;
}

void ClientHistory::evict_least_recent() {
  const auto index = clients_.least_recent();
  const Client& evicted = clients_[index];
  ServedVersion& newest_evicted = newest_evicted_[evicted.repository];
  newest_evicted = std::max(newest_evicted, evicted.newest);
  clients_.erase(index);
}

void ClientHistory::record(std::uint32_t repository, std::uint64_t client, ServedVersion served) {
  const std::uint64_t key = client_key(repository, client);
  auto index = clients_.find(key);
  if (index == LruMap<Client>::kNone) {
    if (clients_.size() >= max_clients_) evict_least_recent();
    index = clients_.insert(key);
    clients_[index] = {repository, newest_evicted_[repository]};
  } else {
    clients_.touch(index);
  }
  ServedVersion& newest = clients_[index].newest;
  newest = std::max(newest, served);
}

}  // namespace ashbeam::metadata
