// The sub-commands. Each returns the program's exit code: 0 for success, 1 for failure. Wrong use of the
// command line ends before they are called.
#pragma once
#include <string>

namespace ashbeam {

struct ServeOptions {
  std::string operator_file;  // its path; empty: none
  bool json_log = false;      // one JSON object a log line
};
int serve(const ServeOptions& options);

int check_operator_file(const std::string& path);
int print_operator_schema();

struct KeysOptions {
  std::string folder = "keys", kid, algorithm = "EdDSA", from = "0s";
  // of a token
  std::string subject, tenant, issuer, audience, life = "1h", certificate;
};
int keys_new(const KeysOptions& options);
int keys_list(const KeysOptions& options);
int keys_retire(const KeysOptions& options);
int keys_revoke(const KeysOptions& options);
int keys_token(const KeysOptions& options);

int metadata_show(const std::string& path);
// Follows the workflow through a folder's files like a client that holds `root`.
int metadata_check(const std::string& root, const std::string& folder);

}  // namespace ashbeam
