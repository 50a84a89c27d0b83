#include "tokens/jws.hpp"

#include <algorithm>
#include <set>

#include "protocol/json.hpp"
#include "tokens/base64url.hpp"

namespace ashbeam::tokens {

namespace {

// Guards against members that stand twice, of which another reader would take the other.
std::optional<Json> object(std::string_view text) {
  const auto all = Json::parse(text);
  if (!all || !all->is_object()) return std::nullopt;
  std::set<std::string> names;
  bool twice = false;
  all->for_each_member(
      [&](const std::string& name, const Json&) { twice = twice || !names.insert(name).second; });
  return twice ? std::nullopt : all;
}

bool date(const Json& all, const char* name, Instant& into, bool& had) {
  const auto given = all.member(name);
  had = given.has_value();
  if (!had) return true;
  const auto s = given->number();
  if (!s || !(*s >= 0 && *s < 1e11)) return false;
  into = Instant::at_us(static_cast<std::int64_t>(*s * 1e6));
  return true;
}

bool name(const Json& all, std::string_view member, std::string& into) {
  const auto given = all.member(member);
  if (!given) return true;
  const auto text = given->text();
  if (!text || text->size() > kLongestName) return false;
  into = *text;
  return true;
}

}  // namespace

std::optional<Jws> split(std::string_view token) {
  const std::size_t first = token.find('.'), second = token.find('.', first + 1);
  if (token.size() > kLongestToken || first == std::string_view::npos || second == std::string_view::npos)
    return std::nullopt;
  const auto header = from_base64url(token.substr(0, first)),
             payload = from_base64url(token.substr(first + 1, second - first - 1)),
             signature = from_base64url(token.substr(second + 1));
  if (!header || !payload || !signature) return std::nullopt;
  const auto all = object(*header);
  if (!all || all->member("crit") || all->member("b64")) return std::nullopt;
  const auto alg = all->member("alg"), kid = all->member("kid"), type = all->member("typ");
  Jws jws;
  if (!alg || !alg->text()) return std::nullopt;
  jws.alg = *alg->text();
  if (kid) {
    if (!kid->text()) return std::nullopt;
    jws.kid = *kid->text();
  }
  if (type) {  // RFC 8725, section 3.11: a token of another kind is none of ours
    const std::string t = type->text().value_or("?");
    if (t != "JWT" && t != "jwt" && t != "at+jwt") return std::nullopt;
  }
  jws.signed_bytes = token.substr(0, second);
  jws.signature = *signature;
  jws.payload = *payload;
  return jws;
}

std::optional<Claims> read_claims(std::string_view payload, std::string_view tenant) {
  const auto all = object(payload);
  if (!all) return std::nullopt;
  Claims c;
  bool had_early = false;
  if (!name(*all, "iss", c.issuer) || !name(*all, "sub", c.subject) || !name(*all, tenant, c.tenant) ||
      !date(*all, "exp", c.expires, c.has_expiry) || !date(*all, "nbf", c.not_before, had_early) ||
      !date(*all, "iat", c.issued, c.has_issued))
    return std::nullopt;
  bool good = true;
  if (const auto aud = all->member("aud")) {
    const auto one = [&](const Json& j) {
      const auto text = j.text();
      good = good && text && text->size() <= kLongestName && c.audiences.size() < kMostAudiences;
      if (good) c.audiences.push_back(*text);
    };
    if (aud->is_array()) aud->for_each_element(one);
    else one(*aud);
  }
  if (const auto cnf = all->member("cnf")) {
    const auto inside = cnf->is_object() ? object(cnf->raw()) : std::nullopt;
    const auto print = inside ? inside->member("x5t#S256") : std::nullopt;
    const auto bytes = print && print->text() ? from_base64url(*print->text()) : std::nullopt;
    // A binding of a kind that we do not know is not passed over.
    if (!bytes || bytes->size() != c.certificate.size()) return std::nullopt;
    std::copy(bytes->begin(), bytes->end(), c.certificate.begin());
    c.bound = true;
  }
  return good ? std::optional(c) : std::nullopt;
}

std::string issue(const Key& key, std::string_view kid, std::string_view payload) {
  const std::string header = R"({"alg":")" + std::string(name_of(key.algorithm())) +
                             R"(","typ":"JWT","kid":)" + json_quoted(kid) + "}";
  const std::string input = to_base64url(header) + "." + to_base64url(payload);
  return input + "." + to_base64url(key.sign(input));
}

}  // namespace ashbeam::tokens
