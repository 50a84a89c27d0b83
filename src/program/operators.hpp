// The operator's file: typed records, checked against the program's schema. What is not given stays off.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "calling/settings.hpp"
#include "metadata/metadata_verifier.hpp"
#include "policy/router_settings.hpp"
#include "terms/wire_settings.hpp"
#include "transport/tls_settings.hpp"

namespace ashbeam {

struct Operators {
  struct Calling {
    calling::CallingSettings terms;
    std::string keys;  // folder of key sets; empty: no tokens
    Span reread;       // how often the folder is looked at
    bool token_goes_on = false;
  };
  std::optional<Calling> calling;
  std::optional<TlsSettings> tls;
  struct Metadata {
    std::vector<metadata::RepositorySettings> repositories;  // `root` is a path here
    std::size_t clients = 0;
  };
  std::optional<Metadata> metadata;
};

struct OperatorsError : std::runtime_error {
  using std::runtime_error::runtime_error;  // all that is wrong, a line each
};

std::string_view operators_schema();

// Paths in the file are relative to its folder. `door` and `terms` say what the file's names stand for;
// without them these names are taken as they are. Throws OperatorsError, FileError.
Operators read_operators(const std::string& path, const WireSettings* door, const RouterSettings* terms);
TlsFiles read_tls_files(const TlsSettings& terms);  // throws FileError
Operators operators_from(std::string_view text, const std::string& path, const WireSettings* door,
                         const RouterSettings* terms);

}  // namespace ashbeam
