// A TUF repository that publishes successive versions, and the endpoints that replicate each version with a
// delay of their own. It also produces the bad files that some endpoints serve.
#pragma once
#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/pcg.hpp"
#include "metadata/publisher.hpp"

namespace ashbeam::metadata {

class ReplicatedRepository {
 public:
  ReplicatedRepository(Instant expiry, unsigned endpoints) : publisher_(expiry), held_version_(endpoints) {
    publisher_.target_contents["targets"]["app"] = "0";
    first_root_ = publisher_.root_file();
    versions_.push_back(publisher_.files());
  }

  const std::string& first_root() const { return first_root_; }
  std::size_t published() const { return versions_.size() - 1; }
  std::size_t new_roots() const { return new_roots_; }

  // Publishes the next version. Every fifth version has a new root, in turn with new timestamp keys and with
  // new root keys.
  void publish() {
    ++publisher_.versions["targets"];
    ++publisher_.versions["snapshot"];
    ++publisher_.versions["timestamp"];
    const std::size_t number = versions_.size();
    publisher_.target_contents["targets"]["app"] = std::to_string(number);
    const auto former_root = publisher_.roles["root"];
    const bool new_root = number % 5 == 0;
    if (new_root) {
      const std::string role = number % 10 == 0 ? "timestamp" : "root";
      publisher_.roles[role].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
      ++publisher_.versions["root"];
      ++new_roots_;
    }
    auto files = publisher_.files();
    if (new_root)
      files[std::to_string(publisher_.versions["root"]) + ".root.json"] = publisher_.root_file(&former_root);
    // Consistent snapshots (TUF): an endpoint that has this version has the files of older versions, too.
    for (const auto& [name, bytes] : versions_.back()) {
      if (name != "timestamp.json") files.emplace(name, bytes);
    }
    versions_.push_back(std::move(files));
  }

  void replicate(unsigned endpoint, std::size_t version) {
    held_version_[endpoint] = std::max(held_version_[endpoint], version);
  }

  // Returns the endpoint's file of that name, or null. An endpoint has the files that a newer timestamp leads
  // to before that timestamp.
  const std::string* find(unsigned endpoint, const std::string& name) const {
    const auto& files = name == "timestamp.json" ? versions_[held_version_[endpoint]] : versions_.back();
    const auto file = files.find(name);
    return file == files.end() ? nullptr : &file->second;
  }

  // Replaces a file's bytes by a bad file, in one of several ways.
  void make_bad(const std::string& name, std::string& body, Instant now, Pcg& random) const {
    switch (random.next_below(5)) {
      case 0:  // truncated
        body.resize(body.size() / 2);
        break;
      case 1: {  // another version, not signed
        const std::size_t digit = body.find("\"version\":") + 10;
        body[digit] = body[digit] == '9' ? '8' : static_cast<char>(body[digit] + 1);
        break;
      }
      case 2:  // rolled back, or with trailing bytes
        body = name == "timestamp.json" ? versions_[0].at(name) : body + " {}";
        break;
      case 3:  // another publisher's
        body = Publisher(now + Duration::s(900)).timestamp_file();
        break;
      default:  // rolled back, or another role's
        body = versions_[versions_.size() / 2].at("timestamp.json");
        if (name == "timestamp.json" && versions_.size() < 12) body = "{}";
        break;
    }
  }

 private:
  Publisher publisher_;
  std::string first_root_;
  std::vector<std::map<std::string, std::string>> versions_;  // files by name
  std::vector<std::size_t> held_version_;                     // by endpoint, index of versions_
  std::size_t new_roots_ = 0;
};

}  // namespace ashbeam::metadata
