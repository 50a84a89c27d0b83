// The command line. Without a sub-command `ashbeam` serves.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>
#include <string>

#include "program/commands.hpp"
#include "program/demo.hpp"

namespace {

using namespace ashbeam;

constexpr int kWrongUse = 2;  // exit code

// What the command line has said.
struct CommandLine {
  ServeOptions serve;
  std::string log_format = "plain";
  std::string checked_file;
  bool wants_schema = false;
  KeysOptions keys;
  std::string metadata_file;
  std::string metadata_root;
  std::string metadata_folder;
  DemoOptions demo;
  std::function<int()> command;  // empty: serve
};

void add_serve_options(CLI::App& app, CommandLine& line) {
  app.add_option("--file", line.serve.operator_file, "the operator's file (typed records)")
      ->envname("ASHBEAM_FILE");
  app.add_option("--log", line.log_format, "plain or json: one object a line")
      ->check(CLI::IsMember({"plain", "json"}));
}

void add_serve_command(CLI::App& app, CommandLine& line) {
  add_serve_options(*app.add_subcommand("serve", "serve; what plain ashbeam does, too"), line);
}

int check(const CommandLine& line) {
  if (line.wants_schema) return print_operator_schema();
  if (!line.checked_file.empty()) return check_operator_file(line.checked_file);
  std::fprintf(stderr, "ashbeam check: FILE or --schema is needed\n");
  return kWrongUse;
}

void add_check_command(CLI::App& app, CommandLine& line) {
  CLI::App& command =
      *app.add_subcommand("check", "check an operator's file, or print what may stand in one");
  CLI::Option* const file = command.add_option("FILE", line.checked_file, "the file");
  command.add_flag("--schema", line.wants_schema, "print the schema")->excludes(file);
  command.callback([&line] { line.command = [&line] { return check(line); }; });
}

using KeysCommand = int (*)(const KeysOptions&);

CLI::App& add_keys_subcommand(CLI::App& keys, CommandLine& line, const char* name, const char* description,
                              KeysCommand run) {
  CLI::App& command = *keys.add_subcommand(name, description);
  command.add_option("--keys", line.keys.folder, "folder of key sets")->capture_default_str();
  command.callback([&line, run] { line.command = [&line, run] { return run(line.keys); }; });
  return command;
}

void add_token_command(CLI::App& keys, CommandLine& line) {
  CLI::App& token = add_keys_subcommand(keys, line, "token", "sign a token and print it", keys_token);
  token.add_option("--sub", line.keys.subject, "subject")->required();
  token.add_option("--tenant", line.keys.tenant, "tenant")->required();
  token.add_option("--iss", line.keys.issuer, "issuer");
  token.add_option("--aud", line.keys.audience, "audience");
  token.add_option("--life", line.keys.life, "until it expires, like 1h")->capture_default_str();
  token.add_option("--kid", line.keys.kid, "the key; by default the newest that signs");
  token.add_option("--cert", line.keys.certificate, "PEM certificate that the token is bound to");
}

void add_keys_command(CLI::App& app, CommandLine& line) {
  CLI::App& keys = *app.add_subcommand("keys", "make, list, retire and revoke signing keys; sign tokens");
  keys.require_subcommand(1);
  CLI::App& create = add_keys_subcommand(
      keys, line, "new", "make a key; the set that routers read gains its public part", keys_new);
  create.add_option("--alg", line.keys.algorithm, "EdDSA or ES256")
      ->check(CLI::IsMember({"EdDSA", "ES256"}))
      ->capture_default_str();
  create.add_option("--kid", line.keys.kid, "its name; by default its time and kind");
  create.add_option("--from", line.keys.from, "how long until it signs, like 10m")->capture_default_str();
  add_keys_subcommand(keys, line, "list", "the keys and their states", keys_list);
  add_keys_subcommand(keys, line, "retire", "it signs no more; what it signed goes on for the overlap",
                      keys_retire)
      .add_option("KID", line.keys.kid, "the key's name")
      ->required();
  add_keys_subcommand(keys, line, "revoke", "nothing that it signed counts any more", keys_revoke)
      .add_option("KID", line.keys.kid, "the key's name")
      ->required();
  add_token_command(keys, line);
}

void add_metadata_command(CLI::App& app, CommandLine& line) {
  CLI::App& metadata = *app.add_subcommand("metadata", "look at update metadata (TUF)");
  metadata.require_subcommand(1);
  CLI::App& show = *metadata.add_subcommand("show", "what a file says");
  show.add_option("FILE", line.metadata_file, "a role's file")->required();
  show.callback([&line] { line.command = [&line] { return metadata_show(line.metadata_file); }; });
  CLI::App& check = *metadata.add_subcommand("check", "follow a folder's files as a client does");
  check.add_option("--root", line.metadata_root, "the root that is trusted")->required();
  check.add_option("DIR", line.metadata_folder, "the folder")->required();
  check.callback([&line] {
    line.command = [&line] { return metadata_check(line.metadata_root, line.metadata_folder); };
  });
}

void add_demo_command(CLI::App& app, CommandLine& line) {
  CLI::App& command =
      *app.add_subcommand("demo", "a router with fake endpoints, discovery and release platform on loopback");
  command.add_option("--seconds", line.demo.seconds, "end after so long; 0: once both releases have ended")
      ->capture_default_str();
  command.add_option("--port", line.demo.port, "the router's port; 0: any")->capture_default_str();
  command.callback([&line] { line.command = [&line] { return demo(line.demo); }; });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"ashbeam: a router that stands beside a service and votes on staged releases"};
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
    return app.exit(error) == 0 ? 0 : kWrongUse;
  }
  if (line.command) return line.command();
  line.serve.json_log = line.log_format == "json";
  return serve(line.serve);
}
