#include <catch2/catch.hpp>

#include "standins/kv_store/kv_store_server.h"

namespace crankspur::standin {
namespace {

TEST_CASE("the store keeps leading blocks and evicts the least recently used", "[standin_kv_store]") {
  KvStoreModel store(4, 9);
  const std::vector<BlockHash> first = {1, 2};
  const std::vector<BlockHash> second = {3, 4};
  CHECK(store.put(first) == 2);
  CHECK(store.put(second) == 2);
  CHECK(store.get(std::vector<BlockHash>{1, 2, 8}) == 2);
  CHECK(store.get(std::vector<BlockHash>{8, 1}) == 0);
  CHECK(store.put(std::vector<BlockHash>{5, 6}) == 2);
  CHECK(store.get(first) == 2);
  CHECK(store.get(second) == 0);
  CHECK(store.put(std::vector<BlockHash>{11, 12, 13, 14, 15}) == 4);
  CHECK(store.used() == 4);
}

TEST_CASE("malformed requests to the store are rejected", "[standin_kv_store]") {
  KvStoreModel store(4, 9);
  http::Request request;
  request.method = "POST";
  request.target = "/v1/kv/put";
  request.body = R"({"blocks":["0000000000000001"]})";
  CHECK(handleKvStoreRequest(request, store).body == R"({"held":1,"incarnation":9})");
  for (const char* body : {"", "[]", "{}", R"({"blocks":[1]})", R"({"blocks":["xyz"]})"}) {
    request.body = body;
    CHECK(handleKvStoreRequest(request, store).status == 400);
  }
  request.target = "/v1/kv/other";
  CHECK(handleKvStoreRequest(request, store).status == 404);
}

}  // namespace
}  // namespace crankspur::standin
