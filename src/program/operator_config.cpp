#include "program/operator_config.hpp"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <utility>

#include "calling/tenant_directory.hpp"
#include "program/operator_schema.hpp"
#include "records/limits.hpp"
#include "records/schema.hpp"
#include "store/files.hpp"
#include "transport/connection.hpp"

namespace ashbeam {

namespace {

using records::Value;

constexpr std::size_t kMaxPemBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxRevocationListBytes = 16 * kMaxPemBytes;

calling::Limit read_limit(const Value& value) {
  calling::Limit limit;
  if (!value.is_given()) return limit;
  limit.requests_per_s = value["per_s"].number;
  limit.burst_requests = value["burst"].number;
  limit.max_in_flight = static_cast<std::uint32_t>(value["in_hand"].number);
  return limit;
}

std::vector<std::string> read_names(const Value& list) {
  std::vector<std::string> names;
  for (const Value& item : list.items) names.push_back(item.text);
  return names;
}

calling::SubjectSettings read_subject(const Value& value) {
  calling::SubjectSettings subject;
  subject.name = value["name"].text;
  subject.allows_any_class = !value["path_groups"].is_given();
  subject.allowed_classes = read_names(value["path_groups"]);
  if (value["limit"].is_given()) subject.limit = read_limit(value["limit"]);
  return subject;
}

calling::TenantSettings read_tenant(const Value& value) {
  calling::TenantSettings tenant;
  tenant.name = value["name"].text;
  tenant.issuer = value["issuer"].text;
  tenant.organisation = value["organisation"].text;
  tenant.allows_any_class = !value["path_groups"].is_given();
  tenant.allowed_classes = read_names(value["path_groups"]);
  tenant.tenant_limit = read_limit(value["limit"]);
  tenant.subject_limit = read_limit(value["each"]);
  tenant.allows_only_listed_subjects = value["only_listed"].boolean;
  for (const Value& subject : value["subjects"].items) tenant.subjects.push_back(read_subject(subject));
  return tenant;
}

TlsSettings::ClientCertificates read_client_certificates(const std::string& mode) {
  if (mode == "off") return TlsSettings::ClientCertificates::kOff;
  if (mode == "optional") return TlsSettings::ClientCertificates::kOptional;
  return TlsSettings::ClientCertificates::kRequired;
}

// Sets the request classes and tenants that the file may name: those of the deployment. Without a deployment,
// all request classes that the file names are accepted.
void set_known_names(calling::CallingSettings& settings, const Deployment* deployment) {
  if (deployment) {
    settings.request_classes = deployment->wire.request_classes;
    settings.policy_tenants = deployment->wire.tenants;
    return;
  }
  const auto add = [&settings](const std::vector<std::string>& names) {
    settings.request_classes.insert(settings.request_classes.end(), names.begin(), names.end());
  };
  for (const calling::TenantSettings& tenant : settings.tenants) {
    add(tenant.allowed_classes);
    for (const calling::SubjectSettings& subject : tenant.subjects) add(subject.allowed_classes);
  }
}

// Converts a file to OperatorConfig. Collects the problems that the schema finds; if there are none, those of
// the rules that the schema cannot express.
class ConfigReader {
 public:
  ConfigReader(const std::string& path, const Deployment* deployment)
      : path_(path), deployment_(deployment) {}

  OperatorConfig read(std::string_view text) {
    records::CheckedFile checked =
        records::check_against_schema(operator_schema(), kOperatorFileDefinition, text);
    problems_ = std::move(checked.problems);
    OperatorConfig config;
    if (problems_.empty()) config = read_sections(checked.value);
    if (!problems_.empty()) throw OperatorConfigError(records::format_problems(path_, problems_));
    return config;
  }

 private:
  OperatorConfig read_sections(const Value& file) {
    const Value& calling = file["calling"];
    const Value& tls = file["tls"];
    const Value& metadata = file["metadata"];
    OperatorConfig config;
    if (calling.is_given()) config.calling = read_calling(calling);
    if (tls.is_given()) config.tls = read_tls(tls);
    if (metadata.is_given()) config.metadata = read_metadata(metadata);
    const bool has_certificates = tls.is_given() && tls["clients"].text != "off";
    if (calling.is_given() && calling["prove"].text == "required" && !calling["tokens"].is_given() &&
        !has_certificates) {
      add_problem(calling, "calling.prove",
                  "tokens or tls.clients, because clients could not authenticate otherwise", "neither");
    }
    return config;
  }

  CallingConfig read_calling(const Value& value) {
    CallingConfig config;
    calling::CallingSettings& settings = config.settings;
    settings.requires_authentication = value["prove"].text == "required";
    if (value["tokens"].is_given()) read_tokens(value["tokens"], config);
    settings.max_subjects = static_cast<std::size_t>(value["subjects"].number);
    settings.routers_per_subject = static_cast<std::uint32_t>(value["reach"].number);
    settings.credit_window = value["bank"].duration();
    settings.peak_factor = value["lend"].number;
    for (const Value& tenant : value["tenants"].items) settings.tenants.push_back(read_tenant(tenant));
    if (deployment_) {
      settings.router_count = deployment_->router.router_count;
      for (const RequestClass& request_class : deployment_->router.request_classes) {
        settings.max_request_duration = std::max(settings.max_request_duration, request_class.client_timeout);
      }
    }
    set_known_names(settings, deployment_);
    for (const std::string& problem : calling::validate_settings(settings)) {
      add_problem(value["tenants"], "calling.tenants", "valid tenants", problem);
    }
    return config;
  }

  void read_tokens(const Value& value, CallingConfig& config) {
    config.key_folder = resolve_path(value["keys"]);
    config.key_poll_interval = value["reread"].duration();
    config.forward_tokens = value["go_on"].boolean;
    calling::CallingSettings& settings = config.settings;
    settings.issuer = value["issuer"].text;
    settings.audience = value["audience"].text;
    settings.tenant_claim = value["tenant_claim"].text;
    settings.leeway = value["leeway"].duration();
    settings.retiring_key_overlap = value["overlap"].duration();
    settings.max_token_lifetime = value["longest"].duration();
    settings.max_cached_tokens = static_cast<std::size_t>(value["cached"].number);
    settings.verifications_per_s = value["verifications_per_s"].number;
  }

  MetadataConfig read_metadata(const Value& value) {
    MetadataConfig config;
    config.max_clients = static_cast<std::size_t>(value["clients"].number);
    for (const Value& repository : value["repositories"].items) {
      check_prefix(repository["prefix"]);
      config.repositories.push_back(
          {repository["prefix"].text, resolve_path(repository["root"]), repository["lag"].duration()});
    }
    return config;
  }

  // A prefix consists of a request class of the deployment and a path below it.
  void check_prefix(const Value& value) {
    const std::string& prefix = value.text;
    const std::size_t second_slash = prefix.find('/', 1);
    const bool well_formed = prefix[0] == '/' && second_slash != std::string::npos && prefix.ends_with('/');
    if (!well_formed) {
      add_problem(value, "metadata.repositories", "a path group and a path below it, like /look/updates/",
                  records::quoted(prefix));
      return;
    }
    if (!deployment_) return;
    const std::vector<std::string>& known = deployment_->wire.request_classes;
    const std::string request_class = prefix.substr(1, second_slash - 1);
    if (std::find(known.begin(), known.end(), request_class) != known.end()) return;
    add_problem(value, "metadata.repositories", "a path that begins with a path group of the deployment",
                records::quoted(prefix));
  }

  TlsSettings read_tls(const Value& value) {
    TlsSettings settings;
    settings.listen_address = value["listen"].text;
    if (!is_numeric_address(settings.listen_address) && !settings.listen_address.ends_with(":0")) {
      add_problem(value["listen"], "tls.listen", "a numeric address and port",
                  records::quoted(settings.listen_address));
    }
    settings.certificate_path = resolve_path(value["certificate"]);
    settings.key_path = resolve_path(value["key"]);
    settings.trust_path = resolve_path(value["trust"]);
    settings.crl_path = resolve_path(value["crl"]);
    settings.revoked_path = resolve_path(value["revoked"]);
    settings.client_certificates = read_client_certificates(value["clients"].text);
    if (settings.client_certificates != TlsSettings::ClientCertificates::kOff &&
        settings.trust_path.empty()) {
      add_problem(value["clients"], "tls.trust", "the CA certificates that sign client certificates",
                  "nothing");
    }
    settings.tls13_only = value["oldest"].text == "1.3";
    settings.max_handshakes = static_cast<std::size_t>(value["handshakes"].number);
    settings.handshake_timeout = value["handshake"].duration();
    settings.max_handshake_cpu_fraction = value["handshake_cpu"].number;
    settings.ticket_key_lifetime = value["ticket_turn"].duration();
    return settings;
  }

  // Returns the path in `value` as resolved against the folder of the file; empty if no path is given.
  std::string resolve_path(const Value& value) const {
    if (value.text.empty()) return {};
    const std::filesystem::path given(value.text);
    if (given.is_absolute()) return value.text;
    return (std::filesystem::path(path_).parent_path() / given).string();
  }

  void add_problem(const Value& value, const std::string& path, const std::string& wanted,
                   const std::string& found) {
    problems_.push_back({value.position, path, "wanted " + wanted + ", found " + found});
  }

  const std::string& path_;
  const Deployment* deployment_;
  std::vector<records::Problem> problems_;
};

}  // namespace

OperatorConfig read_operator_config(const std::string& path, const Deployment* deployment) {
  return parse_operator_config(read_file(path, records::kMaxFileBytes), path, deployment);
}

OperatorConfig parse_operator_config(std::string_view text, const std::string& path,
                                     const Deployment* deployment) {
  return ConfigReader(path, deployment).read(text);
}

TlsFiles read_tls_files(const TlsSettings& settings) {
  const auto read_if_named = [](const std::string& path, std::size_t max_bytes) {
    return path.empty() ? "" : read_file(path, max_bytes);
  };
  require_private_permissions(settings.key_path);
  return {read_if_named(settings.certificate_path, kMaxPemBytes),
          read_if_named(settings.key_path, kMaxPemBytes), read_if_named(settings.trust_path, kMaxPemBytes),
          read_if_named(settings.crl_path, kMaxRevocationListBytes),
          read_if_named(settings.revoked_path, kMaxRevocationListBytes)};
}

}  // namespace ashbeam
