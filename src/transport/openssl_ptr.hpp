// Owning pointers to OpenSSL objects, and helpers for OpenSSL's error queue and for PEM files. This header
// only forward-declares OpenSSL's types, so that other headers can declare such pointers without including
// OpenSSL.
#pragma once
#include <memory>
#include <string>

struct bignum_st;
struct bio_st;
struct evp_pkey_st;
struct ssl_ctx_st;
struct ssl_st;
struct stack_st_X509;
struct x509_st;
struct x509_store_ctx_st;
struct x509_store_st;
struct X509_crl_st;

namespace ashbeam {

struct OpensslDeleter {
  void operator()(bignum_st* number) const;
  void operator()(bio_st* bio) const;
  void operator()(evp_pkey_st* key) const;
  void operator()(ssl_ctx_st* context) const;
  void operator()(ssl_st* ssl) const;
  void operator()(stack_st_X509* certificates) const;  // frees the certificates, too
  void operator()(x509_st* certificate) const;
  void operator()(x509_store_ctx_st* context) const;
  void operator()(x509_store_st* store) const;
  void operator()(X509_crl_st* list) const;
};

template <class T>
using OpensslPtr = std::unique_ptr<T, OpensslDeleter>;

// Frees a buffer that OpenSSL has allocated for the caller.
struct OpensslBufferDeleter {
  void operator()(void* buffer) const;
};
template <class T>
using OpensslBuffer = std::unique_ptr<T, OpensslBufferDeleter>;

// Returns the reason text of the last error in this thread's error queue, and clears the queue. Returns
// "no error reported by OpenSSL" if the queue is empty or OpenSSL has no text for the error.
std::string take_openssl_error();

// Creates a BIO that reads `bytes`, which must outlive it.
OpensslPtr<bio_st> make_memory_bio(const std::string& bytes);

// A passphrase callback for PEM files (see PEM_read_bio_PrivateKey(3)) that always fails. Without it OpenSSL
// would ask for the passphrase of an encrypted key on the terminal.
int reject_passphrase_prompt(char* buffer, int size, int writing, void* user);

}  // namespace ashbeam
