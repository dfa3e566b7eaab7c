#include "integration/router/router_site.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <stdexcept>

#include "base/hash.h"
#include "integration/http_call.h"

namespace crankspur::testing {

namespace {

constexpr char kBundleText[] = R"(
version = {}
site = "test"

[[models]]
name = "m"
weights_version = "{}"
pools = ["general"]

[[tenants]]
name = "t"
api_key_sha256 = ["544f26a6294e0c83a2bdc53abced220a6466c095df722bbaf621498536da9c1d"]
models = ["m"]
operations = ["place_order"]

[[operations]]
name = "place_order"
pools = ["orders"]
repeatable = false
)";

std::string loopback(std::uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

}  // namespace

RouterSite::RouterSite(int engines) : folder_(makeScratchFolder()) {
  for (int index = 0; index < engines; ++index) {
    const std::string name = fmt::format("engine-{}", index);
    engines_.push_back(
        std::make_unique<Process>("standin_engine",
                                  std::vector<std::string>{"--name=" + name, "--models=m:w1",
                                                           "--listen=127.0.0.1:0", "--weights_load_ms=300"},
                                  folder_ + "/" + name + ".log"));
    engine_addresses_.push_back(loopback(engines_.back()->port("listening")));
  }
  runner_ = std::make_unique<Process>(
      "standin_app_runner",
      std::vector<std::string>{"--name=runner-0", "--operations=place_order", "--listen=127.0.0.1:0"},
      folder_ + "/runner.log");
  runner_address_ = loopback(runner_->port("listening"));
  writeMachines(engines);
  platform_ = std::make_unique<Process>(
      "standin_platform",
      std::vector<std::string>{"--listen=127.0.0.1:0", "--machines=" + folder_ + "/machines.toml",
                               "--machine_list_lag_ms=0"},
      folder_ + "/platform.log");
  platform_address_ = loopback(platform_->port("listening"));
}

void RouterSite::writeMachines(int engines) const {
  std::string text;
  for (int index = 0; index < engines; ++index) {
    text += fmt::format(
        "[[machines]]\nname = \"engine-{}\"\nrole = \"engine\"\npool = \"general\"\naddress = \"{}\"\n"
        "zone = \"zone-0\"\nregion = \"region\"\n",
        index, engine_addresses_[static_cast<std::size_t>(index)]);
  }
  text += fmt::format(
      "[[machines]]\nname = \"runner-0\"\nrole = \"runner\"\npool = \"orders\"\naddress = \"{}\"\n"
      "zone = \"zone-0\"\nregion = \"region\"\n",
      runner_address_);
  writeText(folder_ + "/machines.toml", text);
}

Process& RouterSite::startRouter(int index, const std::vector<std::string>& extra_flags) {
  const std::string name = fmt::format("router-{}", index);
  std::vector<std::string> flags{"--name=" + name,
                                 fmt::format("--zone=zone-{}", index),
                                 "--region=region",
                                 "--listen=127.0.0.1:0",
                                 "--admin=127.0.0.1:0",
                                 "--platform=" + platform_address_,
                                 "--author_keys=" + author_.public_key,
                                 "--approver_keys=" + approver_.public_key};
  flags.insert(flags.end(), extra_flags.begin(), extra_flags.end());
  routers_[index] = std::make_unique<Process>("crankspur_router", flags, folder_ + "/" + name + ".log");
  router_addresses_[index] = loopback(routers_[index]->port("listening"));
  admin_addresses_[index] = loopback(routers_[index]->port("admin"));
  return *routers_[index];
}

Process& RouterSite::startSidecar(int router) {
  const std::string name = fmt::format("sidecar-{}", sidecars_.size());
  const std::vector<std::string> flags{"--name=" + name,
                                       "--zone=zone-0",
                                       "--region=region",
                                       "--listen=127.0.0.1:0",
                                       "--admin=127.0.0.1:0",
                                       "--routers=" + routerAddress(router),
                                       "--author_keys=" + author_.public_key,
                                       "--approver_keys=" + approver_.public_key};
  sidecars_.push_back(std::make_unique<Process>("crankspur_sidecar", flags, folder_ + "/" + name + ".log"));
  return *sidecars_.back();
}

BundleBody RouterSite::signBundle(std::uint64_t version, const std::string& weights) const {
  BundleBody body;
  body.version = version;
  body.document = fmt::format(kBundleText, version, weights);
  if (!knobs_.empty()) body.document += "[knobs]\n" + knobs_;
  const auto sign = [&body](const SigningKeyPair& key, SignatureRole role) {
    return *crankspur::signBundle(key.private_key, role, body.version, body.document);
  };
  body.author_signature = sign(author_, SignatureRole::Author);
  body.approver_signature = sign(approver_, SignatureRole::Approver);
  return body;
}

void RouterSite::roll(const BundleBody& body) const {
  const std::string digest = sha256Hex(body.document);
  http::Request put;
  put.method = "PUT";
  put.target = fmt::format("/v1/objects/bundles/{}-{}", body.version, digest);
  put.body = body.document;
  call(platform_address_, put);
  const auto current_row = boost::json::parse(get(platform_address_, "/v1/rows?key=crankspur%2Fbundle").body);
  const std::string row =
      boost::json::serialize(boost::json::object{{"version", body.version},
                                                 {"document_sha256", digest},
                                                 {"author_signature", body.author_signature},
                                                 {"approver_signature", body.approver_signature},
                                                 {"rolled_by", "test"},
                                                 {"roll_token", fmt::format("token-{}", body.version)}});
  const boost::json::object transaction{
      {"conditions", boost::json::array{boost::json::object{{"key", "crankspur/bundle"},
                                                            {"version", current_row.at("version")}}}},
      {"writes", boost::json::array{boost::json::object{{"key", "crankspur/bundle"}, {"value", row}}}}};
  post(platform_address_, "/v1/transactions", boost::json::serialize(transaction));
}

void RouterSite::slowEngines(double slowdown) const {
  const std::string body = fmt::format(R"({{"slowdown":{}}})", slowdown);
  for (const std::string& engine : engine_addresses_) {
    if (post(engine, "/control", body).status != 200) throw std::runtime_error("cannot slow " + engine);
  }
}

std::string RouterSite::status(int index) const {
  return get(admin_addresses_.at(index), "/status").body;
}

TestSidecar::TestSidecar(const std::string& router_address, std::optional<BundleBody> bundle)
    : bundle_(std::move(bundle)), work_(boost::asio::make_work_guard(context_)) {
  Hello hello;
  hello.node_name = "test-sidecar";
  hello.incarnation = 1;
  hello.role = NodeRole::Sidecar;
  hello.zone = "zone-0";
  hello.region = "region";
  hello.bundle_version = bundle_ ? bundle_->version : 0;
  FrameConnection::Callbacks callbacks;
  callbacks.on_hello = [this](const Hello&) { hello_received_ = true; };
  callbacks.on_message = [this](const Message& message) { onMessage(message); };
  callbacks.on_closed = [](std::error_code) {};
  connection_ = connectFrames(context_.get_executor(), router_address, hello, std::move(callbacks));
  thread_ = std::thread([this] { context_.run(); });
}

TestSidecar::~TestSidecar() {
  boost::asio::post(context_, [this] {
    connection_->close(false);
    work_.reset();
  });
  thread_.join();
}

void TestSidecar::submit(const SubmitRequest& request) {
  boost::asio::post(context_, [this, request] { connection_->send(request); });
}

Received TestSidecar::await(const std::string& request_id, std::chrono::milliseconds timeout) {
  const auto finished = [&] {
    const std::lock_guard lock(mutex_);
    return received_[request_id].finished();
  };
  eventually(finished, timeout);
  const std::lock_guard lock(mutex_);
  return received_[request_id];
}

Received TestSidecar::run(const SubmitRequest& request) {
  submit(request);
  return await(request.request_id);
}

void TestSidecar::onMessage(const Message& message) {
  if (const auto* ack = std::get_if<PingAck>(&message)) {
    for (const MemberRecord& member : ack->members) {
      if (member.name == ack->sender && member.state == MemberState::Leaving) router_leaving_ = true;
    }
  }
  if (std::holds_alternative<BundleRequest>(message) && bundle_) connection_->send(*bundle_);
  const std::lock_guard lock(mutex_);
  if (const auto* accepted = std::get_if<Accepted>(&message)) {
    Received& received = received_[accepted->request_id];
    received.accepted = true;
    received.engine = accepted->engine;
    received.weights_version = accepted->weights_version;
    received.cached_tokens = accepted->cached_tokens;
  } else if (const auto* piece = std::get_if<StreamPiece>(&message)) {
    Received& received = received_[piece->request_id];
    received.text += piece->text;
  } else if (const auto* end = std::get_if<StreamEnd>(&message)) {
    received_[end->request_id].end = *end;
  } else if (const auto* refusal = std::get_if<Refusal>(&message)) {
    received_[refusal->request_id].refusal = *refusal;
  }
}

SubmitRequest completion(const std::string& id, const std::string& prompt, std::uint32_t max_tokens) {
  SubmitRequest request;
  request.request_id = id;
  request.tenant = "t";
  request.model = "m";
  request.prompt = prompt;
  request.max_tokens = max_tokens;
  request.deadline = std::chrono::seconds(20);
  return request;
}

}  // namespace crankspur::testing
