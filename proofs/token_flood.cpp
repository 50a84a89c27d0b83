#include "token_flood.hpp"

#include "tokens/base64url.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {

namespace {

constexpr unsigned kSenders = 128;

}  // namespace

TokenFlood::TokenFlood(const std::string& router_address, const std::string& kid, std::uint64_t seed)
    : router_address_(router_address), random_(seed),
      signer_(tokens::Key::generate(tokens::Algorithm::kEdDsa)), kid_(kid), thread_([this] { run(); }) {}

TokenFlood::~TokenFlood() { stop(); }

TokenFlood::Result TokenFlood::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
  return result_;
}

void TokenFlood::run() {
  EventLoop loop;
  const Limits limits;
  std::vector<std::unique_ptr<Sender>> senders;
  const std::string expires = std::to_string(loop.now().us() / 1'000'000 + 60);
  for (unsigned i = 0; i < kSenders; ++i) {
    const std::string token =
        tokens::sign_token(signer_, kid_,
                           R"({"aud":"ashbeam","tenant":"shop","sub":"f)" + std::to_string(i) +
                               R"(","iat":1700000000,"exp":)" + expires + "}");
    unsigned_tokens_.push_back(token.substr(0, token.rfind('.') + 1));
    senders.push_back(std::make_unique<Sender>(*this, limits, loop));
    senders.back()->timer.schedule_after(Duration::ms(random_.next_below(20)));
  }
  Timer stop_check(loop, [&] {
    if (stopping_) return loop.stop();
    stop_check.schedule_after(Duration::ms(10));
  });
  stop_check.schedule_after(Duration());
  loop.run();
}

std::string TokenFlood::bad_token() {
  std::string noise(tokens::kSignatureBytes, '\0');
  for (char& byte : noise) byte = static_cast<char>(random_.next_below(256));
  const auto count = static_cast<std::uint32_t>(unsigned_tokens_.size());
  return unsigned_tokens_[random_.next_below(count)] + tokens::encode_base64url(noise);
}

void TokenFlood::send(Sender& sender) {
  sender.timer.schedule_after(Duration::ms(15 + random_.next_below(18)));
  if (sender.client.is_busy()) return;
  const std::string token = bad_token();
  ++result_.sent;
  sender.client.send("GET /look/1 HTTP/1.1\r\nX-Correlation-Id: f" + std::to_string(result_.sent) +
                         "\r\nX-Time-Left-Ms: 1500\r\nAuthorization: Bearer " + token + "\r\n\r\n",
                     [this, &sender](const fakes::Client::Answer& answer) {
                       if (answer.status == 200) ++result_.served;
                       sender.client.disconnect();
                     });
}

}  // namespace ashbeam
