// The TLS listener: whom it believes, what it forgets when told to, and rubbish. Stand-ins on a loop of their
// own.
#include <Poco/Exception.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <csignal>
#include <future>

#include "calling_helpers.hpp"
#include "fakes/certificate_authority.hpp"
#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"
#include "program/operator_config.hpp"
#include "router_fixture.hpp"

namespace ashbeam {
namespace {

using fakes::Client;
using fakes::ClientTls;

class TlsTest : public testing::Test {
 protected:
  fakes::CertificateAuthority authority_{"authority"};
  fakes::Identity server_ = authority_.issue("", "router", Span::s(3600), true);
  fakes::Identity van_ = authority_.issue("shop", "van", Span::s(3600));
  TlsSettings tls_;
  TlsFiles files_;
  calling::CallingSettings calling_ = shop_settings();
  Limits limits_;
  // Stand-ins, on a thread of their own.
  EventLoop theirs_;
  std::string seen_;
  std::unique_ptr<fakes::Endpoint> host_;
  std::unique_ptr<fakes::Discovery> discovery_;
  std::unique_ptr<fakes::ReleasePlatform> desk_;
  std::string body_ = "ok";
  std::thread their_thread_;
  // The router, on another.
  EventLoop loop_;
  std::unique_ptr<Service> service_;
  std::thread thread_;
  std::vector<std::string> notes_;  // read once both have ended

  void SetUp() override {
    std::signal(SIGPIPE, SIG_IGN);
    tls_.listen = "127.0.0.1:0";
    tls_.client_certificates = TlsSettings::ClientCertificates::kOptional;
    files_ = {server_.certificate_pem, server_.key_pem, authority_.pem(), "", ""};
  }
  void begin() {
    host_ = std::make_unique<fakes::Endpoint>(theirs_, limits_,
                                              [this](const http::Head& head, const std::string&) {
                                                seen_ = std::string(head.find("X-Caller").value_or("-"));
                                                fakes::EndpointAnswer s;
                                                s.body = body_;
                                                return s;
                                              });
    discovery_ = std::make_unique<fakes::Discovery>(theirs_, limits_);
    desk_ = std::make_unique<fakes::ReleasePlatform>(theirs_, limits_, std::vector<double>{1},
                                                     [](const fakes::ReleasePlatform::State&) {});
    discovery_->put({"h", host_->address(), fakes::ListedState::kUp, 1, Instant()});
    const WireSettings door{{"look", "book", "pay"}, {"shop"},   {"one"}, {"usual"}, {},
                            Span::ms(250),           Span::s(20)};
    RouterSettings terms = default_settings();
    terms.router_count = 1, terms.zone_count = 1;
    service_ = std::make_unique<Service>(
        loop_, limits_, terms, door,
        InstanceSettings{"n", "127.0.0.1:0", discovery_->address(), desk_->address(), 7, discovery_->list(),
                         desk_->state_json()},
        [this](std::string_view line) { notes_.emplace_back(line); });
    service_->listen_with_tls(tls_, std::make_shared<TlsCredentials>(tls_, files_));
    service_->set_authorizer(std::make_unique<calling::Authorizer>(calling_, 7, loop_.now()), false);
    service_->start();
    theirs_.enable_posts_from_threads();
    loop_.enable_posts_from_threads();
    their_thread_ = std::thread([this] { theirs_.run(); });
    thread_ = std::thread([this] { loop_.run(); });
  }
  void end() {
    if (thread_.joinable()) {
      on(loop_, [this] { loop_.stop(); });
      thread_.join();
      on(theirs_, [this] { theirs_.stop(); });
      their_thread_.join();
    }
  }
  void TearDown() override { end(); }
  bool noted(const std::string& part) const {
    return std::any_of(notes_.begin(), notes_.end(),
                       [&](const std::string& l) { return l.find(part) != std::string::npos; });
  }
  static void on(EventLoop& loop, const std::function<void()>& what) {
    // Shared: the loop may still hold it when we have gone on.
    const auto done = std::make_shared<std::promise<void>>();
    auto over = done->get_future();
    loop.post_from_thread([&what, done] {
      try {
        what();
      } catch (const std::exception& e) {
        ADD_FAILURE() << e.what();
      }
      done->set_value();
    });
    over.wait();
  }
  void take() {
    on(loop_, [this] {
      service_->tls_acceptor()->replace_credentials(tls_, std::make_shared<TlsCredentials>(tls_, files_));
    });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(service_->tls_port()); }
  std::shared_ptr<ClientTls> tls(const fakes::Identity* id, bool resume = false, int newest = 0x0304,
                                 const fakes::Identity* between = nullptr) {
    return std::make_shared<ClientTls>(id, between, resume, newest);
  }
  struct Got {
    unsigned status = 0;
    std::string body;
    bool resumed = false, closed = false;
  };
  // The stand-ins' loop owns its clients: they are made and destroyed there.
  using Owned = std::shared_ptr<Client>;
  Owned client(std::shared_ptr<ClientTls> tls) {
    Owned made;
    on(theirs_, [&] { made = std::make_shared<Client>(theirs_, limits_, address(), tls); });
    return made;
  }
  Got ask(Owned& c, const std::string& request = get()) {
    const auto got = std::make_shared<std::promise<Got>>();
    auto future = got->get_future();
    theirs_.post_from_thread([&c, &request, got] {
      c->send(request, [c, got](const Client::Answer& a) {
        got->set_value({a.status, a.message ? a.message->raw_body() : "", c->resumed(), !c->connected()});
      });
    });
    return future.get();
  }
  void hang_up(Owned& c) {
    usleep(20000);  // a ticket comes after the handshake
    on(theirs_, [&] { c->disconnect(); });
  }
  void drop(Owned& c) {
    on(theirs_, [&] { c.reset(); });
  }
  Stream raw() const {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(service_->tls_port());
    ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
    return Stream(fd);
  }
};

TEST_F(TlsTest, ACertificateSaysWhoItIsAndItsSessionIsResumed) {
  body_ = std::string(60'000, 'b');
  begin();
  for (const int newest : {0x0303, 0x0304}) {
    Owned c = client(tls(&van_, true, newest));
    const Got first = ask(c);
    EXPECT_EQ(first.status, 200U);
    EXPECT_EQ(first.body, body_);
    EXPECT_EQ(seen_, "shop/van");
    EXPECT_FALSE(first.resumed);
    EXPECT_EQ(ask(c).status, 200U);  // on the kept connection
    hang_up(c);
    const Got again = ask(c);
    EXPECT_EQ(again.status, 200U);
    EXPECT_TRUE(again.resumed) << newest;
    drop(c);
  }
}

TEST_F(TlsTest, WhoIsNotBelieved) {
  const fakes::CertificateAuthority stranger("authority");  // of the same name
  const fakes::Identity forged = stranger.issue("shop", "van", Span::s(3600));
  const fakes::Identity expired = authority_.issue("shop", "van", Span::s(-30));
  const fakes::Identity elsewhere = authority_.issue("elsewhere", "van", Span::s(3600));
  begin();
  const auto status = [&](const fakes::Identity* id) {
    Owned c = client(tls(id));
    const unsigned s = ask(c).status;
    drop(c);
    return s;
  };
  EXPECT_EQ(status(&van_), 200U);
  EXPECT_EQ(status(nullptr), 401U);
  EXPECT_EQ(status(&elsewhere), 403U);
  EXPECT_EQ(status(&forged), 0U);
  EXPECT_EQ(status(&expired), 0U);
  EXPECT_EQ(status(&server_), 0U);  // not meant for clients
  tls_.client_certificates = TlsSettings::ClientCertificates::kRequired;
  take();
  EXPECT_EQ(status(nullptr), 0U);
  EXPECT_EQ(status(&van_), 200U);
}

TEST_F(TlsTest, ARevokedCertificateIsServedNoMoreByAnyWay) {
  const fakes::Identity other = authority_.issue("shop", "other", Span::s(3600));
  begin();
  for (const auto& how : std::vector<std::string>{"serial", "key", "list"}) {
    const fakes::Identity gone = authority_.issue("shop", "gone", Span::s(3600));
    Owned kept = client(tls(&gone)), resuming = client(tls(&gone, true)), late = client(tls(&gone)),
          innocent = client(tls(&other, true));
    EXPECT_EQ(ask(kept).status, 200U);
    EXPECT_EQ(ask(resuming).status, 200U);
    EXPECT_EQ(ask(innocent).status, 200U);
    EXPECT_EQ(ask(late).status, 200U);
    hang_up(resuming);
    // A request whose body is still to come when it is revoked.
    const std::string whole = post("pay");
    std::promise<unsigned> mid;
    on(theirs_, [&] {
      late->send(whole.substr(0, whole.size() - 1),
                 [&](const Client::Answer& a) { mid.set_value(a.status); });
    });
    usleep(30000);
    if (how == "serial") {
      files_.revoked += "# stolen\nserial: 00" + gone.serial + "\n";
    } else if (how == "key") {
      unsigned char* der = nullptr;
      const int size = i2d_PUBKEY(gone.key.get(), &der);
      const auto d = tokens::sha256({reinterpret_cast<char*>(der), static_cast<std::size_t>(size)});
      OPENSSL_free(der);
      std::string hex;
      for (const auto b : d) {
        char two[3];
        std::snprintf(two, sizeof two, "%02X", b);
        hex += two;
      }
      files_.revoked += "key:" + hex + "\n";
    } else {
      files_.crl = authority_.revocation_list(gone.serial);
      tls_.crl = "crl";
    }
    tls_.revoked = "revoked";
    take();
    on(theirs_, [&] { late->send_rest(whole.substr(whole.size() - 1)); });
    EXPECT_EQ(mid.get_future().get(), 401U) << how;
    const Got refused = ask(kept);
    EXPECT_EQ(refused.status, 401U) << how;
    EXPECT_TRUE(refused.closed);
    EXPECT_EQ(ask(kept).status, 0U) << how;  // a new handshake
    const Got by_ticket = ask(resuming);
    EXPECT_EQ(by_ticket.status, 0U) << how;
    EXPECT_EQ(ask(innocent).status, 200U) << how;  // on the connection that it has
    for (Owned* c : {&kept, &resuming, &late, &innocent}) drop(*c);
  }
}

TEST_F(TlsTest, AHandshakeAcrossARevocationLeavesNoTicketThatOpens) {
  begin();
  Owned c = client(tls(&van_, true));
  tls_.revoked = "revoked", files_.revoked = "serial:" + van_.serial + "\n";
  std::promise<unsigned> across;
  const std::string request = get();
  on(theirs_, [&] {
    c->send(request, [&](const Client::Answer& a) { across.set_value(a.status); });
    usleep(30000);  // accepted, and nothing of the handshake sent
    take();
  });
  EXPECT_EQ(across.get_future().get(), 401U);
  hang_up(c);
  EXPECT_NE(ask(c).status, 200U);
  drop(c);
}

TEST_F(TlsTest, CertificatesAreRenewedWithoutDroppingAnybody) {
  const fakes::CertificateAuthority between = authority_.intermediate("between");
  const fakes::Identity led = authority_.issue("shop", "led", Span::s(3600), false, &between);
  const fakes::Identity step = between.self();
  begin();
  Owned plain = client(tls(&van_, true)), through = client(tls(&led, true, 0x0304, &step)),
        resumed = client(tls(&led, true, 0x0304, &step));
  for (Owned* c : {&plain, &through, &resumed}) EXPECT_EQ(ask(*c).status, 200U);
  hang_up(resumed);
  EXPECT_TRUE(ask(resumed).resumed);  // it has its leaf alone
  server_ = authority_.issue("", "router", Span::s(3600), true);
  files_.certificate = server_.certificate_pem, files_.key = server_.key_pem;
  take();
  for (Owned* c : {&plain, &through, &resumed}) EXPECT_EQ(ask(*c).status, 200U);
  hang_up(plain);
  EXPECT_TRUE(ask(plain).resumed);  // the trust is the same
  tls_.revoked = "revoked", files_.revoked = "serial:12\n";
  take();
  for (Owned* c : {&plain, &through, &resumed}) {
    const Got got = ask(*c);
    EXPECT_EQ(got.status, 200U);
    EXPECT_FALSE(got.closed);
  }
  hang_up(plain);
  EXPECT_FALSE(ask(plain).resumed);                            // proven anew
  files_.revoked = "serial:12\nserial:" + step.serial + "\n";  // what leads up to it is revoked
  take();
  EXPECT_EQ(ask(through).status, 401U);
  EXPECT_EQ(ask(resumed).status, 401U);
  EXPECT_EQ(ask(plain).status, 200U);
  for (Owned* c : {&plain, &through, &resumed}) drop(*c);
  end();
  EXPECT_TRUE(noted("trust as it was, epoch 1"));
  EXPECT_TRUE(noted("trust changed, epoch 3"));
}

TEST_F(TlsTest, RubbishIsClosedAndToldOnceASecond) {
  tls_.handshake_timeout = Span::ms(300);
  begin();
  for (int i = 0; i < 20; ++i) {
    Stream http = raw();
    http.send(get());
    EXPECT_TRUE(http.closed_by_peer());
  }
  Stream noise = raw(), huge = raw(), silent = raw(), half = raw();
  noise.send(std::string(300, '\x7f'));
  huge.send(std::string("\x16\x03\x01\xff\xff", 5) + std::string(1000, 'a'));  // a record over 2^14 bytes
  half.send(std::string("\x16\x03\x01\x00\x80", 5));
  for (Stream* s : {&noise, &huge}) {
    while (s->receive(500)) {  // the alert
    }
    EXPECT_TRUE(s->closed_by_peer());
  }
  EXPECT_TRUE(silent.closed_by_peer(600));
  EXPECT_TRUE(half.closed_by_peer(600));
  Owned c = client(tls(&van_));
  EXPECT_EQ(ask(c).status, 200U);
  drop(c);
  end();
  EXPECT_LE(std::count_if(notes_.begin(), notes_.end(),
                          [](const auto& l) { return l.find("plain HTTP") != std::string::npos; }),
            2);
  EXPECT_TRUE(noted("tls: plain HTTP on the TLS port"));
}

TEST_F(TlsTest, ARenegotiationEndsTheConnection) {
  begin();
  Stream c = raw();
  const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> ctx(SSL_CTX_new(TLS_client_method()), SSL_CTX_free);
  SSL_CTX_set_max_proto_version(ctx.get(), TLS1_2_VERSION);
  const std::unique_ptr<SSL, decltype(&SSL_free)> ssl(SSL_new(ctx.get()), SSL_free);
  SSL_set_fd(ssl.get(), c.fd);
  ASSERT_EQ(SSL_connect(ssl.get()), 1);
  SSL_renegotiate(ssl.get());
  EXPECT_NE(SSL_do_handshake(ssl.get()), 1);
  EXPECT_TRUE(c.closed_by_peer() || SSL_get_error(ssl.get(), -1) == SSL_ERROR_SSL);
  usleep(30000);
  end();
  EXPECT_TRUE(noted("tls: renegotiation"));
}

TEST_F(TlsTest, SilentHandshakesGiveWayToThoseThatGoOn) {
  tls_.max_handshakes = 8;
  tls_.handshake_timeout = Span::s(5);
  begin();
  std::vector<Stream> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(raw());
  usleep(150000);
  for (int i = 0; i < 5; ++i) {
    Owned c = client(tls(&van_));
    EXPECT_EQ(ask(c).status, 200U) << i;
    drop(c);
  }
}

TEST_F(TlsTest, AFloodOfHandshakesKeepsToItsBudget) {
  tls_.handshake_cpu_per_second = 0.02;
  tls_.handshake_timeout = Span::ms(400);
  begin();
  Owned kept = client(tls(&van_));
  EXPECT_EQ(ask(kept).status, 200U);
  std::vector<Owned> flood;
  std::atomic<int> answered = 0;
  for (int i = 0; i < 60; ++i) {
    flood.push_back(client(tls(&van_)));
    on(theirs_,
       [&] { flood.back()->send(get(), [&](const Client::Answer& a) { answered += a.status == 200; }); });
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(kept).status, 200U);  // who has shaken hands is not concerned
  usleep(700000);
  EXPECT_LT(answered, 60);
  EXPECT_GT(answered, 0);
  on(theirs_, [&] { flood.clear(), kept.reset(); });
}

TEST_F(TlsTest, WhatCannotBeUsedIsNamed) {
  const auto complaint = [&](const TlsSettings& terms, const TlsFiles& files) -> std::string {
    try {
      TlsCredentials all(terms, files);
    } catch (const std::exception& e) {
      return e.what();
    }
    return "";
  };
  tls_.certificate = "c.pem", tls_.key = "k.pem", tls_.trust = "t.pem", tls_.crl = "l.pem",
  tls_.revoked = "r";
  files_.crl = authority_.revocation_list("12");
  EXPECT_EQ(complaint(tls_, files_), "");
  const auto with = [&](std::string TlsFiles::*part, const std::string& text) {
    TlsFiles f = files_;
    f.*part = text;
    return complaint(tls_, f);
  };
  EXPECT_TRUE(with(&TlsFiles::certificate, "x").starts_with("c.pem: no PEM certificate"));
  EXPECT_TRUE(with(&TlsFiles::key, files_.key.substr(0, 80)).starts_with("k.pem: no PEM private key"));
  EXPECT_TRUE(with(&TlsFiles::key, van_.key_pem).starts_with("k.pem: does not belong to the certificate"));
  EXPECT_TRUE(with(&TlsFiles::trust, "").starts_with("t.pem: no PEM certificates"));
  EXPECT_TRUE(with(&TlsFiles::crl, "no").starts_with("l.pem: no PEM revocation lists"));
  EXPECT_EQ(with(&TlsFiles::revoked, "serial:12\nserial 13\n"),
            "r: line 2: wanted serial:HEX or key:SHA-256 in HEX");
}

}  // namespace
}  // namespace ashbeam
