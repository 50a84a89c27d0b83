// Helpers for the tests of the authorizer and its parts: a signing key with its kid, and settings with one
// tenant.
#pragma once
#include <cmath>
#include <string>
#include <utility>

#include "calling/authorizer.hpp"
#include "protocol/json.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {

// A generated signing key that issues tokens.
struct TokenSigner {
  std::string kid;
  tokens::Key key;
  TokenSigner(std::string name, tokens::Algorithm algorithm)
      : kid(std::move(name)), key(tokens::Key::generate(algorithm)) {}

  // Returns the entry of the key in a key set, without activation and retirement times.
  tokens::KeyEntry entry() const {
    tokens::KeyEntry entry;
    entry.key = key;
    entry.kid = kid;
    return entry;
  }
  // Returns a signed token issued at `now`. `more_members` is appended to the claims as JSON text; each
  // member in it starts with a comma.
  std::string make_token(const std::string& tenant, const std::string& subject, Instant now,
                         Duration lifetime, const std::string& more_members = "") const {
    const auto unix_s = [](Instant at) {
      return std::to_string(static_cast<long long>(std::floor(static_cast<double>(at.us()) / 1e6)));
    };
    return tokens::sign_token(key, kid,
                              R"({"aud":"ashbeam","tenant":")" + tenant + R"(","sub":")" + subject +
                                  R"(","iat":)" + unix_s(now) + R"(,"exp":)" + unix_s(now + lifetime) +
                                  more_members + "}");
  }
};

// Settings that require authentication and have the tenant "shop", without limits, and three request classes.
inline calling::CallingSettings shop_settings() {
  calling::CallingSettings settings;
  settings.requires_authentication = true;
  settings.audience = "ashbeam";
  settings.request_classes = {"look", "book", "pay"};
  settings.policy_tenants = {"shop"};
  calling::TenantSettings shop;
  shop.name = "shop";
  settings.tenants = {shop};
  return settings;
}

}  // namespace ashbeam
