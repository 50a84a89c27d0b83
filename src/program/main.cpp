// Parses the command line of `ashbeam` and runs the chosen subcommand; without one it runs `serve`.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>
#include <string>

#include "program/commands.hpp"
#include "program/demo.hpp"

namespace {

using namespace ashbeam;

constexpr int kUsageErrorExitCode = 2;

// The values of the parsed command line.
struct CommandLine {
  ServeOptions serve;
  std::string log_format = "plain";
  std::string checked_file;
  bool schema_requested = false;
  KeysOptions keys;
  std::string metadata_file;
  std::string metadata_root;
  std::string metadata_folder;
  DemoOptions demo;
  std::function<int()> command;  // of the subcommand; empty for serve
};

void add_serve_options(CLI::App& app, CommandLine& line) {
  app.add_option("--file", line.serve.operator_file,
                 "Read the operator file at this path; `ashbeam check --schema` prints its schema")
      ->envname("ASHBEAM_FILE");
  app.add_option("--log", line.log_format, "Set the log format: plain, or json for one object per line")
      ->check(CLI::IsMember({"plain", "json"}));
}

void add_serve_command(CLI::App& app, CommandLine& line) {
  add_serve_options(*app.add_subcommand("serve", "Run the router; the default without a subcommand"), line);
}

int check(const CommandLine& line) {
  if (line.schema_requested) return print_operator_schema();
  if (!line.checked_file.empty()) return check_operator_file(line.checked_file);
  std::fprintf(stderr, "ashbeam check: expected FILE or --schema\n");
  return kUsageErrorExitCode;
}

void add_check_command(CLI::App& app, CommandLine& line) {
  CLI::App& command =
      *app.add_subcommand("check", "Check an operator file, or print the schema of operator files");
  CLI::Option* const file =
      command.add_option("FILE", line.checked_file, "Check the operator file at this path");
  command.add_flag("--schema", line.schema_requested, "Print the schema of operator files")->excludes(file);
  command.callback([&line] { line.command = [&line] { return check(line); }; });
}

using KeysCommand = int (*)(const KeysOptions&);

CLI::App& add_keys_subcommand(CLI::App& keys, CommandLine& line, const char* name, const char* description,
                              KeysCommand run) {
  CLI::App& command = *keys.add_subcommand(name, description);
  command.add_option("--keys", line.keys.folder, "Use the key set in this folder")->capture_default_str();
  command.callback([&line, run] { line.command = [&line, run] { return run(line.keys); }; });
  return command;
}

void add_token_command(CLI::App& keys, CommandLine& line) {
  CLI::App& token = add_keys_subcommand(keys, line, "token", "Sign a token and print it", keys_token);
  token.add_option("--sub", line.keys.subject, "Set the subject (claim sub)")->required();
  token.add_option("--tenant", line.keys.tenant, "Set the tenant (claim tenant)")->required();
  token.add_option("--iss", line.keys.issuer, "Set the issuer (claim iss)");
  token.add_option("--aud", line.keys.audience, "Set the audience (claim aud)");
  token.add_option("--life", line.keys.lifetime, "Set the time until the token expires, like 1h")
      ->capture_default_str();
  token.add_option("--kid", line.keys.kid,
                   "Sign with the key of this name; by default with the last current key of the set");
  token.add_option("--cert", line.keys.certificate, "Bind the token to the certificate in this PEM file");
}

void add_keys_command(CLI::App& app, CommandLine& line) {
  CLI::App& keys = *app.add_subcommand("keys", "Create, list, retire and revoke signing keys; sign tokens");
  keys.require_subcommand(1);
  CLI::App& create = add_keys_subcommand(
      keys, line, "new", "Create a key, and add its public part to the key set that routers read", keys_new);
  create.add_option("--alg", line.keys.algorithm, "Set the algorithm: EdDSA or ES256")
      ->check(CLI::IsMember({"EdDSA", "ES256"}))
      ->capture_default_str();
  create.add_option("--kid", line.keys.kid,
                    "Set the name of the key; by default made of its creation time and algorithm");
  create
      .add_option("--from", line.keys.activation_delay, "Set the time until the key signs tokens, like 10m")
      ->capture_default_str();
  add_keys_subcommand(keys, line, "list", "List the keys and their states", keys_list);
  add_keys_subcommand(
      keys, line, "retire",
      "Stop signing with a key; tokens that it signed stay valid for the overlap of the operator file",
      keys_retire)
      .add_option("KID", line.keys.kid, "Retire the key of this name")
      ->required();
  add_keys_subcommand(keys, line, "revoke", "Revoke a key; routers reject all tokens that it signed",
                      keys_revoke)
      .add_option("KID", line.keys.kid, "Revoke the key of this name")
      ->required();
  add_token_command(keys, line);
}

void add_metadata_command(CLI::App& app, CommandLine& line) {
  CLI::App& metadata = *app.add_subcommand("metadata", "Show or check update metadata (TUF)");
  metadata.require_subcommand(1);
  CLI::App& show = *metadata.add_subcommand("show", "Show the content of a metadata file");
  show.add_option("FILE", line.metadata_file, "Show the metadata file at this path")->required();
  show.callback([&line] { line.command = [&line] { return metadata_show(line.metadata_file); }; });
  CLI::App& check = *metadata.add_subcommand(
      "check", "Check the metadata files of a folder by the workflow of a TUF client");
  check.add_option("--root", line.metadata_root, "Trust the root metadata file at this path")->required();
  check.add_option("DIR", line.metadata_folder, "Check the metadata files in this folder")->required();
  check.callback([&line] {
    line.command = [&line] { return metadata_check(line.metadata_root, line.metadata_folder); };
  });
}

void add_demo_command(CLI::App& app, CommandLine& line) {
  CLI::App& command = *app.add_subcommand(
      "demo", "Run a router with fake endpoints, discovery and release platform on loopback");
  command
      .add_option(
          "--seconds", line.demo.seconds,
          "Stop after this many seconds, or earlier once both releases have ended; 0: run until a signal")
      ->capture_default_str();
  command.add_option("--port", line.demo.port, "Listen on this port; 0: any free port")
      ->capture_default_str();
  command.callback([&line] { line.command = [&line] { return demo(line.demo); }; });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"ashbeam: a router that runs beside a service and votes on its staged releases"};
  app.require_subcommand(0, 1);
  CommandLine line;
  add_serve_options(app, line);
  add_serve_command(app, line);
  add_check_command(app, line);
  add_keys_command(app, line);
  add_metadata_command(app, line);
  add_demo_command(app, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsageErrorExitCode;
  }
  if (line.command) return line.command();
  line.serve.json_log = line.log_format == "json";
  return serve(line.serve);
}
