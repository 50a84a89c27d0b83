#include "program/access_config_loader.hpp"

#include <algorithm>
#include <utility>

namespace ashbeam {

AccessConfigLoader::AccessConfigLoader(EventLoop& loop, Service& service, const WireSettings& door,
                                       const RouterSettings& terms, std::string path, std::uint64_t seed,
                                       LogFunction note)
    : loop_(loop), service_(service),
      reading_by_(std::make_shared<Reading>(Reading{std::move(path), door, terms})), note_(std::move(note)),
      look_(loop, [this] { look(); }) {
  Fresh fresh = reading_by_->read("");
  if (!fresh.problem.empty()) throw OperatorsError(fresh.problem);
  standing_ = fresh.operators;
  if (standing_.metadata) {
    std::vector<metadata::RepositorySettings> all = standing_.metadata->repositories;
    for (auto& r : all) r.root = read_file(r.root, metadata::max_file_bytes("root"));
    service_.set_metadata_verifier(
        std::make_unique<metadata::MetadataVerifier>(std::move(all), standing_.metadata->clients));
  }
  if (!standing_.calling && !standing_.tls) return;
  worker_ = std::make_unique<Worker>(loop_);
  if (standing_.tls) service_.listen_with_tls(*standing_.tls, fresh.tls);
  if (!standing_.calling) return;
  service_.set_authorizer(std::make_unique<calling::Authorizer>(standing_.calling->terms, seed, loop_.now()),
                          standing_.calling->token_goes_on);
  take_keys(fresh.keys);
  look_.in(Span());
}

AccessConfigLoader::Fresh AccessConfigLoader::Reading::read(const std::string& keys_only) const {
  Fresh fresh;
  try {
    std::string folder = keys_only;
    if (folder.empty()) {
      fresh.operators = read_operators(path, &door, &terms);
      if (fresh.operators.calling) folder = fresh.operators.calling->keys;
    }
    if (!folder.empty()) fresh.keys = read_key_folder(folder);
    if (fresh.operators.tls)
      fresh.tls =
          std::make_shared<TlsCredentials>(*fresh.operators.tls, read_tls_files(*fresh.operators.tls));
  } catch (const std::exception& e) {
    fresh.problem = e.what();
  }
  return fresh;
}

void AccessConfigLoader::begin_reading() {
  reading_ = true;
  reading_since_ = loop_.now();
  stuck_told_ = false;
}

std::uint64_t AccessConfigLoader::reread() {
  if (!worker_) {
    note_("operator's file: counts from the next start, nothing of it was on at this one");
    return 0;
  }
  if (reading_) {  // that one may have read before what is new was there
    again_ = true;
    return taken_ + 2;
  }
  begin_reading();
  worker_->submit([this, by = reading_by_]() -> std::function<void()> {
    return [this, fresh = by->read("")] {
      reading_ = false;
      ++taken_;
      take(fresh, true);
      if (std::exchange(again_, false)) reread();
    };
  });
  return taken_ + 1;
}

// A folder on a file system that hangs must not go unnoticed: what is revoked there is not known here.
void AccessConfigLoader::look() {
  look_.in(std::min(standing_.calling->reread, Span::s(1)));
  const Span ahead = loop_.wall_clock_offset(), before = service_.authorizer()->wall_clock_ahead();
  if (ahead > before + Span::s(1) || ahead < before - Span::s(1))
    note_("calling: the machine's clock was set by " + std::to_string((ahead - before).us() / 1000) + " ms");
  service_.authorizer()->set_wall_clock_ahead(ahead);
  const Instant now = loop_.now();
  if (reading_ && now - reading_since_ > Span::s(5) && !std::exchange(stuck_told_, true))
    note_("calling: reading keys and files has taken 5 s and goes on; the old ring and rights stand");
  if (reading_ || standing_.calling->keys.empty() || now - reading_since_ < standing_.calling->reread) return;
  begin_reading();
  worker_->submit(
      [this, by = reading_by_, folder = standing_.calling->keys, stamp = stamp_]() -> std::function<void()> {
        Fresh fresh;
        bool changed = true;
        try {
          changed = key_folder_stamp(folder) != stamp;
          if (changed) fresh = by->read(folder);
        } catch (const std::exception& e) {
          fresh.problem = e.what();
        }
        return [this, changed, fresh] {
          reading_ = false;
          ++taken_;
          if (changed) take(fresh, false);
          if (std::exchange(again_, false)) reread();
        };
      });
}

void AccessConfigLoader::take(const Fresh& fresh, bool all) {
  if (!fresh.problem.empty()) {
    // A folder that stays spoilt is looked at again and again; it is told once.
    if (all || fresh.problem != complaint_) note_("calling: the old ring and rights stand: " + fresh.problem);
    complaint_ = fresh.problem;
    return;
  }
  complaint_.clear();
  if (all) {
    // What listens and whether callers are asked is settled at the start; what they are asked is not.
    if (fresh.operators.calling.has_value() != standing_.calling.has_value() ||
        fresh.operators.tls.has_value() != standing_.tls.has_value() ||
        (fresh.tls && fresh.operators.tls->listen != standing_.tls->listen))
      return note_(
          "operator's file: the old one stands: calling, tls and its listener come and go by a restart");
    standing_ = fresh.operators;
    if (fresh.tls) service_.tls_acceptor()->replace_credentials(*standing_.tls, fresh.tls);
    if (!standing_.calling) return note_("operator's file read again");
    service_.authorizer()->update_settings(standing_.calling->terms, loop_.now());
    note_("operator's file read again: " + std::to_string(standing_.calling->terms.tenants.size()) +
          " tenants");
  }
  take_keys(fresh.keys);
}

void AccessConfigLoader::take_keys(const KeyFolder& folder) {
  stamp_ = folder.stamp;
  const auto change = service_.authorizer()->update_keys(folder.keys, loop_.now());
  if (!change.any()) return;
  note_("calling: key ring " + std::to_string(service_.authorizer()->key_ring().epoch()) + ": " +
        std::to_string(folder.keys.size()) + " keys listed, " + std::to_string(change.added) + " new, " +
        std::to_string(change.restored) + " back, " + std::to_string(change.retiring) + " retiring, " +
        std::to_string(change.revoked) + " revoked, " + std::to_string(change.forgotten) + " forgotten");
}

}  // namespace ashbeam
