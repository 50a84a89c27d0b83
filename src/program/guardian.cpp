#include "program/guardian.hpp"

#include <utility>

namespace ashbeam {

Guardian::Guardian(Loop& loop, Service& service, const DoorTerms& door, const Terms& terms, std::string path,
                   std::uint64_t seed, Service::Note note)
    : loop_(loop), service_(service), door_(door), terms_(terms), path_(std::move(path)),
      note_(std::move(note)), look_(loop, [this] { look(); }) {
  Fresh fresh = read("");
  if (!fresh.problem.empty()) throw OperatorsError(fresh.problem);
  standing_ = fresh.operators;
  if (!standing_.calling && !standing_.tls) return;
  worker_ = std::make_unique<Worker>(loop_);
  if (standing_.tls) service_.also_listen(*standing_.tls, fresh.tls);
  if (!standing_.calling) return;
  service_.guard(std::make_unique<calling::Gate>(standing_.calling->terms, seed, loop_.now()),
                 standing_.calling->token_goes_on);
  take_keys(fresh.keys);
  if (!standing_.calling->keys.empty()) look_.in(standing_.calling->reread);
}

// On the worker's thread: touches only what never changes, and its argument.
Guardian::Fresh Guardian::read(const std::string& keys_only) const {
  Fresh fresh;
  try {
    std::string folder = keys_only;
    if (folder.empty()) {
      fresh.operators = read_operators(path_, &door_, &terms_);
      if (fresh.operators.calling) folder = fresh.operators.calling->keys;
    }
    if (!folder.empty()) fresh.keys = read_key_folder(folder);
    if (fresh.operators.tls)
      fresh.tls = std::make_shared<TlsMaterial>(*fresh.operators.tls, read_tls_files(*fresh.operators.tls));
  } catch (const std::exception& e) {
    fresh.problem = e.what();
  }
  return fresh;
}

void Guardian::reread() {
  if (!worker_) return note_("operator's file: counts from the next start, nothing of it was on at this one");
  if (reading_) return void(again_ = true);
  reading_ = true;
  worker_->run([this]() -> std::function<void()> {
    return [this, fresh = read("")] {
      reading_ = false;
      take(fresh, true);
      if (std::exchange(again_, false)) reread();
    };
  });
}

void Guardian::look() {
  look_.in(standing_.calling->reread);
  if (reading_) return;
  reading_ = true;
  worker_->run([this, folder = standing_.calling->keys, stamp = stamp_]() -> std::function<void()> {
    Fresh fresh;
    bool changed = true;
    try {
      changed = key_folder_stamp(folder) != stamp;
      if (changed) fresh = read(folder);
    } catch (const std::exception& e) {
      fresh.problem = e.what();
    }
    return [this, changed, fresh] {
      reading_ = false;
      if (changed) take(fresh, false);
      if (std::exchange(again_, false)) reread();
    };
  });
}

void Guardian::take(const Fresh& fresh, bool all) {
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
    if (fresh.tls) service_.tls()->take(*standing_.tls, fresh.tls);
    if (!standing_.calling) return note_("operator's file read again");
    service_.gate()->terms(standing_.calling->terms, loop_.now());
    note_("operator's file read again: " + std::to_string(standing_.calling->terms.tenants.size()) +
          " tenants");
    look_.off();
    if (!standing_.calling->keys.empty()) look_.in(standing_.calling->reread);
  }
  take_keys(fresh.keys);
}

void Guardian::take_keys(const KeyFolder& folder) {
  stamp_ = folder.stamp;
  const auto change = service_.gate()->keys(folder.keys, loop_.now());
  if (!change.any()) return;
  note_("calling: key ring " + std::to_string(service_.gate()->ring().epoch()) + ": " +
        std::to_string(folder.keys.size()) + " keys listed, " + std::to_string(change.added) + " new, " +
        std::to_string(change.back) + " back, " + std::to_string(change.retiring) + " retiring, " +
        std::to_string(change.revoked) + " revoked, " + std::to_string(change.forgotten) + " forgotten");
}

}  // namespace ashbeam
