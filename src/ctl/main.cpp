// tamarackctl: the operators' command-line tool.
#include "adapters/crypto/crypto.h"
#include "ctl/adminclient.h"
#include "ctl/bundlecommands.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <fstream>
#include <functional>
#include <iterator>

namespace tamarack {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Options of all commands.
struct Options
{
    AdminTarget target_;
    std::string file_;
    std::string keyFile_;
    std::string operator_;
    std::string name_;
    std::uint64_t version_ = 0;
};

int report(const AdminAnswer &answer)
{
    const bool ok = answer.status_ >= 200 && answer.status_ < 300;
    fmt::print(ok ? stdout : stderr, "{}\n", answer.body_);
    return ok ? 0 : 1;
}

/// Runs a command that can fail and prints its error.
int runCommand(const std::function<Result<int>()> &command)
{
    return boost::leaf::try_handle_all(
        command,
        [](const Error &error) {
            fmt::print(stderr, "{}: {}\n", error.id_, error.message_);
            return 1;
        },
        [] {
            fmt::print(stderr, "internal error; report this\n");
            return 1;
        });
}

Result<int> keygen()
{
    BOOST_LEAF_AUTO(keys, generateKeyPair());
    fmt::print("public {}\nprivate {}\n", keys.publicKey_, keys.privateKey_);
    return 0;
}

Result<int> submit(const Options &options)
{
    std::string key = readFile(options.keyFile_);
    key.erase(key.find_last_not_of(" \n\r") + 1);
    BOOST_LEAF_AUTO(submission,
                    signBundle(readFile(options.file_), BundleVersion {options.version_},
                               OperatorId {options.operator_}, key));
    return report(callAdmin(options.target_, "POST", "/v1/bundle", formatSubmission(submission)));
}

Result<int> check(const Options &options)
{
    BOOST_LEAF_CHECK(checkBundle(readFile(options.file_)));
    fmt::print("bundle is valid\n");
    return 0;
}

void addTarget(CLI::App &command, Options &options)
{
    command.add_option("--admin", options.target_.address_, "IP:port of a daemon's admin listener")
        ->required();
    command.add_option("--token", options.target_.token_, "operators' token")
        ->envname("TAMARACK_TOKEN")
        ->required();
}

void addLookup(CLI::App &app, Options &options, const std::string &name, const std::string &path,
               const std::string &help, int &exitCode)
{
    CLI::App *command = app.add_subcommand(name, help);
    addTarget(*command, options);
    command->add_option("id", options.name_, "id")->required();
    command->callback([&options, &exitCode, path] {
        exitCode = report(callAdmin(options.target_, "GET", path + options.name_, ""));
    });
}

void addBundleCommands(CLI::App &app, Options &options, int &exitCode)
{
    CLI::App *bundle = app.add_subcommand("bundle", "check, sign and submit bundles");
    bundle->require_subcommand(1);
    CLI::App *checkCommand = bundle->add_subcommand("check", "check a bundle document");
    checkCommand->add_option("file", options.file_)->required()->check(CLI::ExistingFile);
    checkCommand->callback([&] { exitCode = runCommand([&options] { return check(options); }); });
    CLI::App *submitCommand = bundle->add_subcommand("submit", "sign a bundle and submit it");
    addTarget(*submitCommand, options);
    submitCommand->add_option("file", options.file_)->required()->check(CLI::ExistingFile);
    submitCommand->add_option("--version", options.version_, "the accepted version plus one")
        ->required();
    submitCommand->add_option("--operator", options.operator_, "operator id")->required();
    submitCommand->add_option("--key", options.keyFile_, "file with the private key")
        ->required()
        ->check(CLI::ExistingFile);
    submitCommand->callback([&] { exitCode = runCommand([&options] { return submit(options); }); });
}

int run(int argc, char **argv)
{
    CLI::App app {"tamarackctl: operates a fleet of tamarackd daemons"};
    app.require_subcommand(1);
    Options options;
    int exitCode = 0;
    app.add_subcommand("keygen", "create an operator key pair")->callback([&exitCode] {
        exitCode = runCommand(keygen);
    });
    CLI::App *hashKey = app.add_subcommand("hash-key", "print the SHA-256 of a caller's key");
    hashKey->add_option("key", options.name_)->required();
    hashKey->callback([&options] { fmt::print("{}\n", sha256Hex(options.name_)); });
    CLI::App *status = app.add_subcommand("status", "show a daemon's status");
    addTarget(*status, options);
    status->callback(
        [&] { exitCode = report(callAdmin(options.target_, "GET", "/v1/status", "")); });
    addLookup(app, options, "budget", "/v1/budgets/", "show a budget", exitCode);
    addLookup(app, options, "request", "/v1/requests/", "show the record of a request", exitCode);
    addBundleCommands(app, options, exitCode);
    CLI11_PARSE(app, argc, argv);
    return exitCode;
}

} // namespace

} // namespace tamarack

int main(int argc, char **argv)
{
    return tamarack::run(argc, argv);
}
