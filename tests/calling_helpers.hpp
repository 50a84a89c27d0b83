// Shared by the tests of who is calling: a signer, and one tenant's terms.
#pragma once
#include <cmath>
#include <string>

#include "calling/authorizer.hpp"
#include "protocol/json.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {

struct Signer {
  std::string kid;
  tokens::Key key;
  Signer(std::string name, tokens::Algorithm algorithm)
      : kid(std::move(name)), key(tokens::Key::fresh(algorithm)) {}

  tokens::Listed listed() const {
    tokens::Listed l;
    l.key = key, l.kid = kid;
    return l;
  }
  // `more` are further members, each with its comma before it.
  std::string token(const std::string& tenant, const std::string& subject, Instant now, Span life,
                    const std::string& more = "") const {
    const auto at = [](Instant t) {
      return std::to_string(static_cast<long long>(std::floor(static_cast<double>(t.us()) / 1e6)));
    };
    return tokens::issue(key, kid,
                         R"({"aud":"ashbeam","tenant":")" + tenant + R"(","sub":")" + subject +
                             R"(","iat":)" + at(now) + R"(,"exp":)" + at(now + life) + more + "}");
  }
};

inline calling::CallingSettings shop_terms() {
  calling::CallingSettings t;
  t.required = true;
  t.audience = "ashbeam";
  t.path_groups = {"look", "book", "pay"};
  t.customers = {"shop"};
  calling::TenantSettings shop;
  shop.name = "shop";
  t.tenants = {shop};
  return t;
}

}  // namespace ashbeam
