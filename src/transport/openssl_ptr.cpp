#include "transport/openssl_ptr.hpp"

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/crypto.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

namespace ashbeam {

void OpensslDeleter::operator()(bignum_st* number) const { BN_free(number); }
void OpensslDeleter::operator()(bio_st* bio) const { BIO_free(bio); }
void OpensslDeleter::operator()(evp_pkey_st* key) const { EVP_PKEY_free(key); }
void OpensslDeleter::operator()(ssl_ctx_st* context) const { SSL_CTX_free(context); }
void OpensslDeleter::operator()(ssl_st* ssl) const { SSL_free(ssl); }
void OpensslDeleter::operator()(stack_st_X509* certificates) const {
  sk_X509_pop_free(certificates, X509_free);
}
void OpensslDeleter::operator()(x509_st* certificate) const { X509_free(certificate); }
void OpensslDeleter::operator()(x509_store_ctx_st* context) const { X509_STORE_CTX_free(context); }
void OpensslDeleter::operator()(x509_store_st* store) const { X509_STORE_free(store); }
void OpensslDeleter::operator()(X509_crl_st* list) const { X509_CRL_free(list); }

void OpensslBufferDeleter::operator()(void* buffer) const { OPENSSL_free(buffer); }

std::string take_openssl_error() {
  const char* const reason = ERR_reason_error_string(ERR_peek_last_error());
  std::string text = reason ? reason : "no error reported by OpenSSL";
  ERR_clear_error();
  return text;
}

OpensslPtr<bio_st> make_memory_bio(const std::string& bytes) {
  return OpensslPtr<bio_st>(BIO_new_mem_buf(bytes.data(), static_cast<int>(bytes.size())));
}

int reject_passphrase_prompt(char*, int, int, void*) { return -1; }

}  // namespace ashbeam
