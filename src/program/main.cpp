// The command line: plain `ashbeam` serves.
#include <CLI/CLI.hpp>

#include "program/commands.hpp"
#include "program/demo.hpp"

namespace {

using namespace ashbeam;

constexpr int kWrongUse = 2;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"ashbeam: a router that stands beside a service and votes on staged releases"};
  app.require_subcommand(0, 1);
  int code = 0;

  ServeOptions serving;
  std::string log = "plain";
  const auto serve_flags = [&](CLI::App& on) {
    on.add_option("--file", serving.operators, "the operator's file (typed records)")
        ->envname("ASHBEAM_FILE");
    on.add_option("--log", log, "plain or json: one object a line")->check(CLI::IsMember({"plain", "json"}));
  };
  serve_flags(app);
  auto* const serve_command = app.add_subcommand("serve", "serve; what plain ashbeam does, too");
  serve_flags(*serve_command);

  std::string checked;
  bool schema = false;
  auto* const check = app.add_subcommand("check", "check an operator's file, or print what may stand in one");
  auto* const file = check->add_option("FILE", checked, "the file");
  check->add_flag("--schema", schema, "print the schema")->excludes(file);

  KeysOptions keys;
  auto* const keys_command =
      app.add_subcommand("keys", "make, list, retire and revoke signing keys; sign tokens");
  keys_command->require_subcommand(1);
  const auto key_command = [&](const char* name, const char* what, int (*run)(const KeysOptions&)) {
    auto* const command = keys_command->add_subcommand(name, what);
    command->add_option("--keys", keys.folder, "folder of key sets")->capture_default_str();
    command->callback([&code, &keys, run] { code = run(keys); });
    return command;
  };
  auto* const fresh =
      key_command("new", "make a key; the set that routers read gains its public part", keys_new);
  fresh->add_option("--alg", keys.algorithm, "EdDSA or ES256")
      ->check(CLI::IsMember({"EdDSA", "ES256"}))
      ->capture_default_str();
  fresh->add_option("--kid", keys.kid, "its name; by default its time and kind");
  fresh->add_option("--from", keys.from, "how long until it signs, like 10m")->capture_default_str();
  key_command("list", "the keys and their states", keys_list);
  auto* const retire =
      key_command("retire", "it signs no more; what it signed goes on for the overlap", keys_retire);
  retire->add_option("KID", keys.kid, "the key's name")->required();
  auto* const revoke = key_command("revoke", "nothing that it signed counts any more", keys_revoke);
  revoke->add_option("KID", keys.kid, "the key's name")->required();
  auto* const token = key_command("token", "sign a token and print it", keys_token);
  token->add_option("--sub", keys.subject, "subject")->required();
  token->add_option("--tenant", keys.tenant, "tenant")->required();
  token->add_option("--iss", keys.issuer, "issuer");
  token->add_option("--aud", keys.audience, "audience");
  token->add_option("--life", keys.life, "until it expires, like 1h")->capture_default_str();
  token->add_option("--kid", keys.kid, "the key; by default the newest that signs");
  token->add_option("--cert", keys.certificate, "PEM certificate that the token is bound to");

  auto* const metadata = app.add_subcommand("metadata", "look at update metadata (TUF)");
  metadata->require_subcommand(1);
  std::string shown, root, folder;
  auto* const show = metadata->add_subcommand("show", "what a file says");
  show->add_option("FILE", shown, "a role's file")->required();
  show->callback([&] { code = metadata_show(shown); });
  auto* const walk = metadata->add_subcommand("check", "follow a folder's files as a client does");
  walk->add_option("--root", root, "the root that is trusted")->required();
  walk->add_option("DIR", folder, "the folder")->required();
  walk->callback([&] { code = metadata_check(root, folder); });

  DemoOptions demoing;
  auto* const demo_command =
      app.add_subcommand("demo", "a router with stand-in hosts, discovery and desk on loopback");
  demo_command
      ->add_option("--seconds", demoing.seconds, "end after so long; 0: once both releases have ended")
      ->capture_default_str();
  demo_command->add_option("--port", demoing.port, "the router's port; 0: any")->capture_default_str();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kWrongUse;
  }
  serving.json = log == "json";
  if (check->parsed()) {
    if (!schema && checked.empty()) {
      std::fprintf(stderr, "ashbeam check: FILE or --schema is needed\n");
      return kWrongUse;
    }
    return schema ? print_schema() : check_file(checked);
  }
  if (demo_command->parsed()) return demo(demoing);
  if (keys_command->parsed() || metadata->parsed()) return code;
  return serve(serving);
}
