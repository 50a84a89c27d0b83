// Owning pointers to OpenSSL's objects, and its error queue as text. Only forward declarations of OpenSSL's
// types, so that headers may hold such pointers without its headers.
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
  void operator()(stack_st_X509* certificates) const;  // and what is on the stack
  void operator()(x509_st* certificate) const;
  void operator()(x509_store_ctx_st* context) const;
  void operator()(x509_store_st* store) const;
  void operator()(X509_crl_st* list) const;
};

template <class T>
using OpensslPtr = std::unique_ptr<T, OpensslDeleter>;

// A buffer that OpenSSL allocated and hands over.
struct OpensslBufferDeleter {
  void operator()(void* buffer) const;
};
template <class T>
using OpensslBuffer = std::unique_ptr<T, OpensslBufferDeleter>;

// The last error of this thread's queue, which is emptied; "broken off" where there is none.
std::string take_openssl_error();

// Reads `bytes`, which must outlive it.
OpensslPtr<bio_st> bio_over(const std::string& bytes);

// A pass phrase callback for PEM files: none is known, and no terminal is asked for one.
int refuse_pass_phrase(char* buffer, int size, int writing, void* user);

}  // namespace ashbeam
