// Reads the operator file, which configures authorization, the TLS listener and the metadata verifier. The
// file has the form that records/ implements and is checked against operator_schema.hpp. A section that the
// file does not contain leaves its feature disabled. Operators depend on the field names of the file; only
// operator_config.cpp uses them.
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

// The section `calling`: authentication and authorization of requests.
struct CallingConfig {
  calling::CallingSettings settings;
  std::string key_folder;       // path of the folder of key sets; empty if tokens are not accepted
  Duration key_poll_interval;   // between two checks of the folder for changes
  bool forward_tokens = false;  // to the endpoints
};

// The section `metadata`: verification of TUF metadata that endpoints serve to clients.
struct MetadataConfig {
  // Here the field `pinned_root` holds the path of the pinned root, not its bytes.
  std::vector<metadata::RepositorySettings> repositories;
  // Maximum number of clients whose last timestamp is stored.
  std::size_t max_clients = 0;
};

// The sections of the file; empty if the file does not contain them.
struct OperatorConfig {
  std::optional<CallingConfig> calling;
  std::optional<TlsSettings> tls;
  std::optional<MetadataConfig> metadata;
};

// Thrown when the operator file is invalid. The message has one line per problem.
struct OperatorConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The settings of the deployment that the operator file is for. They define the request classes and tenants
// that the file may name.
struct Deployment {
  WireSettings wire;
  RouterSettings router;
};

// Reads the operator file at `path`. Relative paths in the file are resolved against its folder. If
// `deployment` is null, any names of request classes and tenants are accepted. Throws OperatorConfigError if
// the file is invalid and FileError if it cannot be read.
OperatorConfig read_operator_config(const std::string& path, const Deployment* deployment);
// Does the same for the content `text` of a file. `path` is used in errors and to resolve relative paths.
OperatorConfig parse_operator_config(std::string_view text, const std::string& path,
                                     const Deployment* deployment);

// Reads the files that the settings name. Throws FileError, also if others than the owner may read the
// private key.
TlsFiles read_tls_files(const TlsSettings& settings);

}  // namespace ashbeam
