// The operator's file: typed records, checked against the program's schema (operator_schema.hpp). What is not
// given stays off. The file's names are wire names and stand in the implementation alone.
#pragma once
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "calling/settings.hpp"
#include "metadata/metadata_verifier.hpp"
#include "policy/router_settings.hpp"
#include "terms/wire_settings.hpp"
#include "transport/tls_settings.hpp"

namespace ashbeam {

// Who may send requests, and how it is proven.
struct CallingConfig {
  calling::CallingSettings settings;
  std::string key_folder;  // of key sets; empty: no tokens
  Duration key_poll_interval;
  bool forward_tokens = false;
};

// Signed update metadata that is checked on its way to clients.
struct MetadataConfig {
  std::vector<metadata::RepositorySettings> repositories;  // `pinned_root` is a path here
  std::size_t max_clients = 0;                             // whose last timestamp is remembered
};

struct OperatorConfig {
  std::optional<CallingConfig> calling;
  std::optional<TlsSettings> tls;
  std::optional<MetadataConfig> metadata;
};

// All that is wrong, a line each.
struct OperatorConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The deployment that the file is for: it says what the file's names stand for.
struct Deployment {
  WireSettings wire;
  RouterSettings router;
};

// Paths in the file are relative to its folder. Without a deployment (null) the file's names are taken as
// they are. Throws OperatorConfigError, FileError.
OperatorConfig read_operator_config(const std::string& path, const Deployment* deployment);
// The same of a text; `path` is the file's, for relative paths and errors.
OperatorConfig parse_operator_config(std::string_view text, const std::string& path,
                                     const Deployment* deployment);

// Reads the files that the settings name. Throws FileError.
TlsFiles read_tls_files(const TlsSettings& settings);

}  // namespace ashbeam
