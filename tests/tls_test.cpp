// Tests of the TLS listener: client authentication, revocation, replacement of credentials, invalid input and
// the limits on handshakes. The router runs on one event loop and the fakes on another, each on a thread of
// its own.
#include <Poco/Exception.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <chrono>
#include <csignal>
#include <functional>
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
  fakes::Identity server_identity_ = authority_.issue("", "router", Duration::s(3600), true);
  fakes::Identity client_identity_ = authority_.issue("shop", "van", Duration::s(3600));
  TlsSettings tls_settings_;
  TlsFiles tls_files_;
  calling::CallingSettings calling_settings_ = shop_settings();
  Limits limits_;
  // The fakes, which run on fakes_thread_.
  EventLoop fakes_loop_;
  std::string seen_principal_;
  std::unique_ptr<fakes::Endpoint> endpoint_;
  std::unique_ptr<fakes::Discovery> discovery_;
  std::unique_ptr<fakes::ReleasePlatform> release_platform_;
  std::string answer_body_ = "ok";
  std::thread fakes_thread_;
  // The router, which runs on router_thread_.
  EventLoop router_loop_;
  std::unique_ptr<Service> service_;
  std::thread router_thread_;
  std::vector<std::string> log_lines_;  // written by the router's thread, read after stop_router()

  void SetUp() override {
    std::signal(SIGPIPE, SIG_IGN);
    tls_settings_.listen_address = "127.0.0.1:0";
    tls_settings_.client_certificates = TlsSettings::ClientCertificates::kOptional;
    tls_files_ = {server_identity_.certificate_pem, server_identity_.key_pem, authority_.pem(), "", ""};
  }
  void create_fakes() {
    const auto serve = [this](const http::Head& head, const std::string&) {
      seen_principal_ = std::string(head.find("X-Caller").value_or("-"));
      fakes::EndpointAnswer answer;
      answer.body = answer_body_;
      return answer;
    };
    endpoint_ = std::make_unique<fakes::Endpoint>(fakes_loop_, limits_, serve);
    discovery_ = std::make_unique<fakes::Discovery>(fakes_loop_, limits_);
    release_platform_ = std::make_unique<fakes::ReleasePlatform>(fakes_loop_, limits_, std::vector<double>{1},
                                                                 [](const fakes::ReleasePlatform::State&) {});
    discovery_->put({"h", endpoint_->address(), fakes::ListedState::kUp, 1, Instant()});
  }
  void create_router() {
    const WireSettings wire_settings{{"look", "book", "pay"}, {"shop"},       {"one"}, {"usual"}, {},
                                     Duration::ms(250),       Duration::s(20)};
    RouterSettings settings = default_settings();
    settings.router_count = 1;
    settings.zone_count = 1;
    const InstanceSettings site{
        "n", "127.0.0.1:0",      discovery_->address(),          release_platform_->address(),
        7,   discovery_->list(), release_platform_->state_json()};
    service_ = std::make_unique<Service>(router_loop_, limits_, settings, wire_settings, site,
                                         [this](std::string_view line) { log_lines_.emplace_back(line); });
    service_->listen_with_tls(tls_settings_, std::make_shared<TlsCredentials>(tls_settings_, tls_files_));
    service_->set_authorizer(std::make_unique<calling::Authorizer>(calling_settings_, 7, router_loop_.now()),
                             false);
    service_->start();
  }
  // Returns once the router is ready. Until discovery has confirmed the endpoint list, the router answers
  // requests with status 503.
  void start_router() {
    create_fakes();
    create_router();
    fakes_loop_.enable_posts_from_threads();
    router_loop_.enable_posts_from_threads();
    fakes_thread_ = std::thread([this] { fakes_loop_.run(); });
    router_thread_ = std::thread([this] { router_loop_.run(); });
    ASSERT_TRUE(wait_until([this] { return is_ready(); }));
  }
  bool is_ready() const {
    Stream connection = connect_to(service_->port());
    connection.send("GET /health/ready HTTP/1.1\r\n\r\n");
    return status_of(connection.read_message()) == 200;
  }
  // Waits until another thread has made the condition true. Returns false after a timeout.
  static bool wait_until(const std::function<bool()>& condition) {
    constexpr auto kTimeout = std::chrono::seconds(5);
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= deadline) return false;
      usleep(1000);
    }
    return true;
  }
  void stop_router() {
    if (!router_thread_.joinable()) return;
    run_on_loop(router_loop_, [this] { router_loop_.stop(); });
    router_thread_.join();
    run_on_loop(fakes_loop_, [this] { fakes_loop_.stop(); });
    fakes_thread_.join();
  }
  void TearDown() override { stop_router(); }
  bool has_log_line(const std::string& part) const {
    return std::any_of(log_lines_.begin(), log_lines_.end(),
                       [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }
  // Runs `function` on the loop's thread and returns after it has run.
  static void run_on_loop(EventLoop& loop, const std::function<void()>& function) {
    // Shared, because the loop may destroy its copy after this function has returned.
    const auto done = std::make_shared<std::promise<void>>();
    auto future = done->get_future();
    loop.post_from_thread([&function, done] {
      try {
        function();
      } catch (const std::exception& exception) {
        ADD_FAILURE() << exception.what();
      }
      done->set_value();
    });
    future.wait();
  }
  void replace_credentials() {
    run_on_loop(router_loop_, [this] {
      service_->tls_acceptor()->replace_credentials(
          tls_settings_, std::make_shared<TlsCredentials>(tls_settings_, tls_files_));
    });
  }
  std::size_t handshakes_in_progress() {
    std::size_t count = 0;
    run_on_loop(router_loop_, [&] { count = service_->tls_acceptor()->handshakes_in_progress(); });
    return count;
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(service_->tls_port()); }
  std::shared_ptr<ClientTls> client_tls(const fakes::Identity* identity, bool resume = false,
                                        int max_version = TLS1_3_VERSION,
                                        const fakes::Identity* intermediate = nullptr) {
    return std::make_shared<ClientTls>(identity, intermediate, resume, max_version);
  }
  struct Response {
    unsigned status = 0;
    std::string body;
    bool resumed = false;
    bool closed = false;
  };
  // Clients use the fakes' event loop, and therefore are created and destroyed on its thread.
  using ClientPtr = std::shared_ptr<Client>;
  ClientPtr create_client(std::shared_ptr<ClientTls> tls) {
    ClientPtr client;
    run_on_loop(fakes_loop_,
                [&] { client = std::make_shared<Client>(fakes_loop_, limits_, address(), tls); });
    return client;
  }
  // Sends a request and waits for its response. The status is 0 if the connection ended without one.
  Response send(ClientPtr& client, const std::string& request = get()) {
    const auto response = std::make_shared<std::promise<Response>>();
    auto future = response->get_future();
    fakes_loop_.post_from_thread([&client, &request, response] {
      client->send(request, [client, response](const Client::Answer& answer) {
        const std::string body = answer.message ? answer.message->raw_body() : "";
        response->set_value({answer.status, body, client->has_resumed_session(), !client->is_connected()});
      });
    });
    return future.get();
  }
  void disconnect(ClientPtr& client) {
    usleep(20000);  // for the session ticket, which arrives after the handshake
    run_on_loop(fakes_loop_, [&] { client->disconnect(); });
  }
  void destroy(ClientPtr& client) {
    run_on_loop(fakes_loop_, [&] { client.reset(); });
  }
  Stream open_connection() const { return connect_to(service_->tls_port()); }
};

TEST_F(TlsTest, AuthenticatesClientByCertificateAndResumesItsSession) {
  answer_body_ = std::string(60'000, 'b');
  start_router();
  for (const int max_version : {TLS1_2_VERSION, TLS1_3_VERSION}) {
    ClientPtr client = create_client(client_tls(&client_identity_, true, max_version));
    const Response first = send(client);
    EXPECT_EQ(first.status, 200U);
    EXPECT_EQ(first.body, answer_body_);
    EXPECT_EQ(seen_principal_, "shop/van");
    EXPECT_FALSE(first.resumed);
    EXPECT_EQ(send(client).status, 200U);  // on the same connection
    disconnect(client);
    const Response second = send(client);
    EXPECT_EQ(second.status, 200U);
    EXPECT_TRUE(second.resumed) << max_version;
    destroy(client);
  }
}

TEST_F(TlsTest, RejectsClientsWithUntrustedOrMissingCertificates) {
  // Has the same name as the trusted authority, but another key.
  const fakes::CertificateAuthority untrusted_authority("authority");
  const fakes::Identity untrusted = untrusted_authority.issue("shop", "van", Duration::s(3600));
  const fakes::Identity expired = authority_.issue("shop", "van", Duration::s(-30));
  const fakes::Identity unknown_tenant = authority_.issue("elsewhere", "van", Duration::s(3600));
  start_router();
  const auto status_for = [&](const fakes::Identity* identity) {
    ClientPtr client = create_client(client_tls(identity));
    const unsigned status = send(client).status;
    destroy(client);
    return status;
  };
  EXPECT_EQ(status_for(&client_identity_), 200U);
  EXPECT_EQ(status_for(nullptr), 401U);
  EXPECT_EQ(status_for(&unknown_tenant), 403U);
  EXPECT_EQ(status_for(&untrusted), 0U);
  EXPECT_EQ(status_for(&expired), 0U);
  EXPECT_EQ(status_for(&server_identity_), 0U);  // its extended key usage is not client authentication
  tls_settings_.client_certificates = TlsSettings::ClientCertificates::kRequired;
  replace_credentials();
  EXPECT_EQ(status_for(nullptr), 0U);
  EXPECT_EQ(status_for(&client_identity_), 200U);
}

enum class Revocation { kBySerial, kByKey, kByCrl };

// Returns upper-case digits, to test that the list of revoked certificates ignores case.
std::string public_key_digest_of(const fakes::Identity& identity) {
  unsigned char* der = nullptr;
  const int size = i2d_PUBKEY(identity.key.get(), &der);
  const auto digest = tokens::sha256({reinterpret_cast<char*>(der), static_cast<std::size_t>(size)});
  OPENSSL_free(der);
  std::string hex;
  for (const auto byte : digest) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02X", byte);
    hex += digits;
  }
  return hex;
}

TEST_F(TlsTest, RejectsRevokedCertificateOnOpenResumedAndNewConnections) {
  const fakes::Identity other = authority_.issue("shop", "other", Duration::s(3600));
  start_router();
  for (const Revocation kind : {Revocation::kBySerial, Revocation::kByKey, Revocation::kByCrl}) {
    const auto trace = testing::Message() << "revocation " << static_cast<int>(kind);
    const fakes::Identity revoked = authority_.issue("shop", "revoked", Duration::s(3600));
    ClientPtr connected = create_client(client_tls(&revoked));
    ClientPtr resuming = create_client(client_tls(&revoked, true));
    ClientPtr mid_request = create_client(client_tls(&revoked));
    ClientPtr not_revoked = create_client(client_tls(&other, true));
    EXPECT_EQ(send(connected).status, 200U);
    EXPECT_EQ(send(resuming).status, 200U);
    EXPECT_EQ(send(not_revoked).status, 200U);
    EXPECT_EQ(send(mid_request).status, 200U);
    disconnect(resuming);
    // The last byte of this request is sent only after the certificate has been revoked.
    const std::string request = post("pay");
    std::promise<unsigned> mid_request_status;
    run_on_loop(fakes_loop_, [&] {
      mid_request->send(request.substr(0, request.size() - 1),
                        [&](const Client::Answer& answer) { mid_request_status.set_value(answer.status); });
    });
    usleep(30000);
    switch (kind) {
      case Revocation::kBySerial:
        tls_files_.revoked += "# stolen\nserial: 00" + revoked.serial + "\n";
        break;
      case Revocation::kByKey:
        tls_files_.revoked += "key:" + public_key_digest_of(revoked) + "\n";
        break;
      case Revocation::kByCrl:
        tls_files_.crl = authority_.revocation_list(revoked.serial);
        tls_settings_.crl_path = "crl";
        break;
    }
    tls_settings_.revoked_path = "revoked";
    replace_credentials();
    run_on_loop(fakes_loop_, [&] { mid_request->send_rest(request.substr(request.size() - 1)); });
    EXPECT_EQ(mid_request_status.get_future().get(), 401U) << trace;
    const Response refused = send(connected);
    EXPECT_EQ(refused.status, 401U) << trace;
    EXPECT_TRUE(refused.closed);
    EXPECT_EQ(send(connected).status, 0U) << trace;  // its new handshake fails
    const Response resumed_response = send(resuming);
    EXPECT_EQ(resumed_response.status, 0U) << trace;
    EXPECT_EQ(send(not_revoked).status, 200U) << trace;  // on its open connection
    for (ClientPtr* client : {&connected, &resuming, &mid_request, &not_revoked}) destroy(*client);
  }
}

TEST_F(TlsTest, IssuesNoUsableTicketIfCertificateIsRevokedDuringHandshake) {
  start_router();
  ClientPtr client = create_client(client_tls(&client_identity_, true));
  tls_settings_.revoked_path = "revoked";
  tls_files_.revoked = "serial:" + client_identity_.serial + "\n";
  std::promise<unsigned> status;
  const std::string request = get();
  run_on_loop(fakes_loop_, [&] {
    client->send(request, [&](const Client::Answer& answer) { status.set_value(answer.status); });
    // Waits until the router has accepted the connection with the former credentials. The client has not sent
    // any part of the handshake, because its event loop is blocked here.
    EXPECT_TRUE(wait_until([this] { return handshakes_in_progress() == 1; }));
    replace_credentials();
  });
  EXPECT_EQ(status.get_future().get(), 401U);
  disconnect(client);
  EXPECT_NE(send(client).status, 200U);
  destroy(client);
}

TEST_F(TlsTest, KeepsOpenConnectionsWhenCredentialsAreReplaced) {
  const fakes::CertificateAuthority intermediate = authority_.intermediate("intermediate");
  const fakes::Identity leaf = authority_.issue("shop", "chained", Duration::s(3600), false, &intermediate);
  const fakes::Identity intermediate_identity = intermediate.self();
  start_router();
  ClientPtr direct = create_client(client_tls(&client_identity_, true));
  ClientPtr with_chain = create_client(client_tls(&leaf, true, TLS1_3_VERSION, &intermediate_identity));
  ClientPtr resumed = create_client(client_tls(&leaf, true, TLS1_3_VERSION, &intermediate_identity));
  for (ClientPtr* client : {&direct, &with_chain, &resumed}) EXPECT_EQ(send(*client).status, 200U);
  disconnect(resumed);
  EXPECT_TRUE(send(resumed).resumed);  // a resumed session contains the leaf certificate alone
  server_identity_ = authority_.issue("", "router", Duration::s(3600), true);
  tls_files_.certificate = server_identity_.certificate_pem;
  tls_files_.key = server_identity_.key_pem;
  replace_credentials();
  for (ClientPtr* client : {&direct, &with_chain, &resumed}) EXPECT_EQ(send(*client).status, 200U);
  disconnect(direct);
  EXPECT_TRUE(send(direct).resumed);  // the server certificate does not affect the trust in clients
  tls_settings_.revoked_path = "revoked";
  tls_files_.revoked = "serial:12\n";
  replace_credentials();
  for (ClientPtr* client : {&direct, &with_chain, &resumed}) {
    const Response response = send(*client);
    EXPECT_EQ(response.status, 200U);
    EXPECT_FALSE(response.closed);
  }
  disconnect(direct);
  EXPECT_FALSE(send(direct).resumed);  // the ticket is of a former trust epoch
  tls_files_.revoked = "serial:12\nserial:" + intermediate_identity.serial + "\n";
  replace_credentials();
  EXPECT_EQ(send(with_chain).status, 401U);
  EXPECT_EQ(send(resumed).status, 401U);
  EXPECT_EQ(send(direct).status, 200U);
  for (ClientPtr* client : {&direct, &with_chain, &resumed}) destroy(*client);
  stop_router();
  EXPECT_TRUE(has_log_line("trust in client certificates unchanged, trust epoch 1"));
  EXPECT_TRUE(has_log_line("trust in client certificates changed, trust epoch 3"));
}

TEST_F(TlsTest, ClosesConnectionOnInvalidBytesAndLogsEachErrorOncePerSecond) {
  tls_settings_.handshake_timeout = Duration::ms(300);
  start_router();
  for (int i = 0; i < 20; ++i) {
    Stream plain_http = open_connection();
    plain_http.send(get());
    EXPECT_TRUE(plain_http.is_closed_by_peer());
  }
  Stream invalid_bytes = open_connection();
  Stream long_record = open_connection();
  Stream silent = open_connection();
  Stream partial_record = open_connection();
  invalid_bytes.send(std::string(300, '\x7f'));
  long_record.send(std::string("\x16\x03\x01\xff\xff", 5) +
                   std::string(1000, 'a'));  // a record length of more than 2^14 bytes
  partial_record.send(std::string("\x16\x03\x01\x00\x80", 5));
  for (Stream* stream : {&invalid_bytes, &long_record}) {
    while (stream->receive(500)) {  // reads the TLS alert
    }
    EXPECT_TRUE(stream->is_closed_by_peer());
  }
  EXPECT_TRUE(silent.is_closed_by_peer(600));
  EXPECT_TRUE(partial_record.is_closed_by_peer(600));
  ClientPtr client = create_client(client_tls(&client_identity_));
  EXPECT_EQ(send(client).status, 200U);
  destroy(client);
  stop_router();
  const auto plain_http_lines = std::count_if(log_lines_.begin(), log_lines_.end(), [](const auto& line) {
    return line.find("plain HTTP") != std::string::npos;
  });
  EXPECT_LE(plain_http_lines, 2);
  EXPECT_TRUE(has_log_line("tls: handshake failed: plain HTTP request on the TLS port"));
}

TEST_F(TlsTest, ClosesConnectionOnRenegotiation) {
  start_router();
  Stream connection = open_connection();
  const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(SSL_CTX_new(TLS_client_method()),
                                                                  SSL_CTX_free);
  SSL_CTX_set_max_proto_version(context.get(), TLS1_2_VERSION);
  const std::unique_ptr<SSL, decltype(&SSL_free)> ssl(SSL_new(context.get()), SSL_free);
  SSL_set_fd(ssl.get(), connection.fd);
  ASSERT_EQ(SSL_connect(ssl.get()), 1);
  SSL_renegotiate(ssl.get());
  EXPECT_NE(SSL_do_handshake(ssl.get()), 1);
  EXPECT_TRUE(connection.is_closed_by_peer() || SSL_get_error(ssl.get(), -1) == SSL_ERROR_SSL);
  usleep(30000);
  stop_router();
  EXPECT_TRUE(has_log_line("tls: connection closed: client requested a renegotiation"));
}

TEST_F(TlsTest, EvictsSilentHandshakesForNewClients) {
  tls_settings_.max_handshakes = 8;
  tls_settings_.handshake_timeout = Duration::s(5);
  start_router();
  std::vector<Stream> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(open_connection());
  usleep(150000);
  for (int i = 0; i < 5; ++i) {
    ClientPtr client = create_client(client_tls(&client_identity_));
    EXPECT_EQ(send(client).status, 200U) << i;
    destroy(client);
  }
}

TEST_F(TlsTest, LimitsCpuTimeOfHandshakeFlood) {
  tls_settings_.max_handshake_cpu_fraction = 0.02;
  tls_settings_.handshake_timeout = Duration::ms(400);
  start_router();
  ClientPtr established = create_client(client_tls(&client_identity_));
  EXPECT_EQ(send(established).status, 200U);
  std::vector<ClientPtr> flood;
  std::atomic<int> answered = 0;
  for (int i = 0; i < 60; ++i) {
    flood.push_back(create_client(client_tls(&client_identity_)));
    run_on_loop(fakes_loop_, [&] {
      flood.back()->send(get(), [&](const Client::Answer& answer) { answered += answer.status == 200; });
    });
  }
  // The limit does not affect a connection whose handshake is complete.
  for (int i = 0; i < 20; ++i) EXPECT_EQ(send(established).status, 200U);
  usleep(700000);
  EXPECT_LT(answered, 60);
  EXPECT_GT(answered, 0);
  run_on_loop(fakes_loop_, [&] {
    flood.clear();
    established.reset();
  });
}

TEST_F(TlsTest, NamesUnusableFileInError) {
  const auto error_of = [&](const TlsSettings& settings, const TlsFiles& files) -> std::string {
    try {
      TlsCredentials credentials(settings, files);
    } catch (const std::exception& error) {
      return error.what();
    }
    return "";
  };
  tls_settings_.certificate_path = "c.pem";
  tls_settings_.key_path = "k.pem";
  tls_settings_.trust_path = "t.pem";
  tls_settings_.crl_path = "l.pem";
  tls_settings_.revoked_path = "r";
  tls_files_.crl = authority_.revocation_list("12");
  EXPECT_EQ(error_of(tls_settings_, tls_files_), "");
  const auto error_with = [&](std::string TlsFiles::*member, const std::string& text) {
    TlsFiles files = tls_files_;
    files.*member = text;
    return error_of(tls_settings_, files);
  };
  EXPECT_TRUE(error_with(&TlsFiles::certificate, "x").starts_with("c.pem: cannot load a PEM certificate: "));
  EXPECT_TRUE(error_with(&TlsFiles::key, tls_files_.key.substr(0, 80))
                  .starts_with("k.pem: cannot load a PEM private key: "));
  EXPECT_TRUE(error_with(&TlsFiles::key, client_identity_.key_pem)
                  .starts_with("k.pem: private key does not match the certificate 'c.pem': "));
  EXPECT_TRUE(error_with(&TlsFiles::trust, "")
                  .starts_with("t.pem: contains no PEM certificate of a certificate authority"));
  EXPECT_TRUE(error_with(&TlsFiles::crl, "no")
                  .starts_with("l.pem: contains no PEM certificate revocation list (CRL)"));
  EXPECT_EQ(error_with(&TlsFiles::revoked, "serial:12\nserial 13\n"),
            "r: line 2: expected serial:HEX or key:HEX with the 64 hexadecimal digits of a SHA-256 digest");
}

}  // namespace
}  // namespace ashbeam
