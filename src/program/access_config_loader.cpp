#include "program/access_config_loader.hpp"

#include <algorithm>
#include <exception>
#include <functional>
#include <utility>
#include <vector>

namespace ashbeam {

namespace {

constexpr Duration kMaxPollInterval = Duration::s(1);
constexpr Duration kWallClockTolerance = Duration::s(1);
constexpr Duration kSlowLoadThreshold = Duration::s(5);

}  // namespace

AccessConfigLoader::AccessConfigLoader(EventLoop& loop, Service& service, const WireSettings& wire,
                                       const RouterSettings& router, std::string path, std::uint64_t seed,
                                       LogFunction log)
    : loop_(loop), service_(service),
      source_(std::make_shared<Source>(Source{std::move(path), Deployment{wire, router}})),
      log_(std::move(log)), poll_timer_(loop, [this] { poll(); }) {
  const LoadResult loaded = source_->load_everything();
  if (!loaded.error.empty()) throw OperatorConfigError(loaded.error);
  configure_service(loaded, seed);
}

// ---- Reading files: on the worker thread, except at startup ----

AccessConfigLoader::LoadResult AccessConfigLoader::Source::load_everything() const {
  LoadResult loaded;
  try {
    loaded.config = read_operator_config(path, &deployment);
    if (loaded.config.calling && !loaded.config.calling->key_folder.empty()) {
      loaded.keys = read_key_folder(loaded.config.calling->key_folder);
    }
    if (loaded.config.tls) {
      const TlsSettings& tls = *loaded.config.tls;
      loaded.tls = std::make_shared<TlsCredentials>(tls, read_tls_files(tls));
    }
  } catch (const std::exception& error) {
    loaded.error = error.what();
  }
  return loaded;
}

AccessConfigLoader::LoadResult AccessConfigLoader::Source::load_key_sets(const std::string& folder,
                                                                         const std::string& known_stamp) {
  LoadResult loaded;
  try {
    loaded.unchanged = key_folder_fingerprint(folder) == known_stamp;
    if (!loaded.unchanged) loaded.keys = read_key_folder(folder);
  } catch (const std::exception& error) {
    loaded.error = error.what();
  }
  return loaded;
}

// ---- Startup ----

void AccessConfigLoader::configure_service(const LoadResult& loaded, std::uint64_t seed) {
  config_ = loaded.config;
  if (config_.metadata) configure_metadata_verifier();
  if (!config_.calling && !config_.tls) return;
  worker_ = std::make_unique<Worker>(loop_);
  if (config_.tls) service_.listen_with_tls(*config_.tls, loaded.tls);
  if (!config_.calling) return;
  service_.set_authorizer(std::make_unique<calling::Authorizer>(config_.calling->settings, seed, loop_.now()),
                          config_.calling->forward_tokens);
  apply_key_sets(loaded.keys);
  poll_timer_.schedule_after(Duration());
}

void AccessConfigLoader::configure_metadata_verifier() {
  std::vector<metadata::RepositorySettings> repositories = config_.metadata->repositories;
  for (metadata::RepositorySettings& repository : repositories) {
    repository.pinned_root = read_file(repository.pinned_root, metadata::max_file_bytes("root"));
  }
  service_.set_metadata_verifier(
      std::make_unique<metadata::MetadataVerifier>(std::move(repositories), config_.metadata->max_clients));
}

// ---- Reloading ----

std::uint64_t AccessConfigLoader::reload() {
  if (!worker_) {
    log_(
        "operator file: not reloaded, because it enabled neither calling nor tls at startup; "
        "changes take effect at the next start");
    return 0;
  }
  if (loading_) {  // The current load may have read the files before they changed, so another one follows.
    reload_pending_ = true;
    return completed_loads_ + 2;
  }
  begin_load();
  worker_->submit([this, source = source_]() -> Worker::Completion {
    return [this, loaded = source->load_everything()] { finish_load(loaded, Scope::kEverything); };
  });
  return completed_loads_ + 1;
}

void AccessConfigLoader::poll() {
  const std::string& folder = config_.calling->key_folder;
  const Duration interval = config_.calling->key_poll_interval;
  poll_timer_.schedule_after(std::min(interval, kMaxPollInterval));
  check_wall_clock();
  const Instant now = loop_.now();
  warn_if_load_is_slow(now);
  if (loading_ || folder.empty() || now - load_started_at_ < interval) return;
  begin_load();
  worker_->submit([this, folder, stamp = key_folder_stamp_]() -> Worker::Completion {
    return [this, loaded = Source::load_key_sets(folder, stamp)] { finish_load(loaded, Scope::kKeySets); };
  });
}

void AccessConfigLoader::check_wall_clock() {
  const Duration ahead = loop_.wall_clock_offset();
  const Duration before = service_.authorizer()->wall_clock_offset();
  if (ahead > before + kWallClockTolerance || ahead < before - kWallClockTolerance) {
    const std::int64_t change_ms = (ahead - before).us() / 1000;
    log_("calling: system clock was adjusted by " + std::to_string(change_ms) +
         " ms; tokens, keys and certificates are checked against the new time");
  }
  service_.authorizer()->set_wall_clock_offset(ahead);
}

// The operator has to know: while a load hangs, for example on an unreachable file system, keys that have
// been revoked in the folder are still accepted.
void AccessConfigLoader::warn_if_load_is_slow(Instant now) {
  if (!loading_ || slow_load_logged_ || now - load_started_at_ <= kSlowLoadThreshold) return;
  slow_load_logged_ = true;
  log_(
      "calling: load of operator file and key sets still running after 5 s; "
      "former keys and permissions stay in force");
}

void AccessConfigLoader::begin_load() {
  loading_ = true;
  load_started_at_ = loop_.now();
  slow_load_logged_ = false;
}

void AccessConfigLoader::finish_load(const LoadResult& loaded, Scope scope) {
  loading_ = false;
  ++completed_loads_;
  if (!loaded.unchanged) apply(loaded, scope);
  if (std::exchange(reload_pending_, false)) reload();
}

void AccessConfigLoader::apply(const LoadResult& loaded, Scope scope) {
  if (!loaded.error.empty()) {
    // An unusable folder of key sets is read at each poll; its error is logged once.
    const bool repeated = scope == Scope::kKeySets && loaded.error == last_error_;
    if (!repeated) log_("calling: load failed, former keys and permissions stay in force: " + loaded.error);
    last_error_ = loaded.error;
    return;
  }
  last_error_.clear();
  if (scope == Scope::kEverything && !apply_config(loaded)) return;
  apply_key_sets(loaded.keys);
}

bool AccessConfigLoader::apply_config(const LoadResult& loaded) {
  if (needs_restart(loaded)) {
    log_(
        "operator file: reload rejected, former file stays in force: "
        "adding or removing calling or tls, or changing tls.listen, takes a restart");
    return false;
  }
  config_ = loaded.config;
  if (loaded.tls) service_.tls_acceptor()->replace_credentials(*config_.tls, loaded.tls);
  if (!config_.calling) {
    log_("operator file: reloaded, calling is off");
    return false;
  }
  service_.authorizer()->update_settings(config_.calling->settings, loop_.now());
  log_("operator file: reloaded, " + std::to_string(config_.calling->settings.tenants.size()) + " tenants");
  return true;
}

bool AccessConfigLoader::needs_restart(const LoadResult& loaded) const {
  return loaded.config.calling.has_value() != config_.calling.has_value() ||
         loaded.config.tls.has_value() != config_.tls.has_value() ||
         (loaded.tls && loaded.config.tls->listen_address != config_.tls->listen_address);
}

void AccessConfigLoader::apply_key_sets(const KeyFolder& folder) {
  key_folder_stamp_ = folder.fingerprint;
  const auto change = service_.authorizer()->update_keys(folder.keys, loop_.now());
  if (!change.has_changes()) return;
  log_("calling: key ring epoch " + std::to_string(service_.authorizer()->key_ring().epoch()) + ": " +
       std::to_string(folder.keys.size()) + " keys listed, " + std::to_string(change.added) + " added, " +
       std::to_string(change.restored) + " listed again, " + std::to_string(change.retiring) + " retiring, " +
       std::to_string(change.revoked) + " revoked, " + std::to_string(change.removed) + " forgotten");
}

}  // namespace ashbeam
