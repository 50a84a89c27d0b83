// The functions behind the subcommands of `ashbeam`. Each returns the exit code of the program: 0 for
// success, 1 for failure. main.cpp rejects a malformed command line before it calls them.
#pragma once
#include <string>

namespace ashbeam {

struct ServeOptions {
  std::string operator_file;  // path; empty for a router without an operator file
  bool json_log = false;      // write each log line as one JSON object
};
// Runs a router until SIGTERM or SIGINT.
int serve(const ServeOptions& options);

// Reads the operator file at `path` and prints a summary, or its errors to standard error.
int check_operator_file(const std::string& path);
// Prints the schema of operator files.
int print_operator_schema();

struct KeysOptions {
  std::string folder = "keys";          // the folder of the key set
  std::string kid;                      // the name of a key; empty for the default of keys_new and keys_token
  std::string algorithm = "EdDSA";      // of a new key: "EdDSA" or "ES256"
  std::string activation_delay = "0s";  // from the creation of a key until it is current

  // The claims of a token. Empty texts leave out issuer, audience and certificate.
  std::string subject;
  std::string tenant;
  std::string issuer;
  std::string audience;
  std::string lifetime = "1h";
  std::string certificate;  // path of a PEM certificate that the token is bound to (RFC 8705)
};
// Creates a key pair, adds the public key to the key set and prints the name of the key.
int keys_new(const KeysOptions& options);
// Prints name, algorithm, state and thumbprint (RFC 7638) of each key.
int keys_list(const KeysOptions& options);
// Marks the key `kid` as retired: it signs no more tokens, and routers accept those that it has signed for
// the overlap that the operator file sets.
int keys_retire(const KeysOptions& options);
// Marks the key `kid` as revoked: routers reject all tokens that it has signed.
int keys_revoke(const KeysOptions& options);
// Signs a token with the private key `kid`, or with the last current key, and prints it.
int keys_token(const KeysOptions& options);

// Prints type, version, expiry, number of signatures and digest of the metadata file at `path`.
int metadata_show(const std::string& path);
// Checks the metadata files in `folder` by the workflow of a TUF client (TUF 1.0, section 5) that trusts the
// root metadata file at `root`.
int metadata_check(const std::string& root, const std::string& folder);

}  // namespace ashbeam
