// Owning pointers to OpenSSL objects.
#pragma once
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>
#include <openssl/x509.h>

#include <memory>

namespace ashbeam::tokens {

struct OpensslDeleter {
  void operator()(BIGNUM* p) const { BN_clear_free(p); }
  void operator()(ECDSA_SIG* p) const { ECDSA_SIG_free(p); }
  void operator()(EVP_MD* p) const { EVP_MD_free(p); }
  void operator()(EVP_MD_CTX* p) const { EVP_MD_CTX_free(p); }
  void operator()(EVP_PKEY_CTX* p) const { EVP_PKEY_CTX_free(p); }
  void operator()(OSSL_PARAM* p) const { OSSL_PARAM_free(p); }
  void operator()(OSSL_PARAM_BLD* p) const { OSSL_PARAM_BLD_free(p); }
  void operator()(X509* p) const { X509_free(p); }
};

template <class T>
using OpensslPtr = std::unique_ptr<T, OpensslDeleter>;

}  // namespace ashbeam::tokens
