// tamarackctl: the operators' command-line tool.
#include "adapters/crypto/crypto.h"
#include "ctl/adminclient.h"
#include "ctl/bundlecommands.h"
#include "ctl/rollout.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <vector>

namespace tamarack {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Exit codes, documented in docs/operations.md.
enum ExitCode {
    ExitOk = 0,
    /// Any other error, such as a refused request or an invalid document.
    ExitRefused = 1,
    /// The daemon or the store behind it is unavailable.
    ExitUnavailable = 3,
    /// Not every daemon applied the version before the timeout.
    ExitIncomplete = 4,
};

/// Option values of all commands.
struct Options
{
    AdminTarget target_;
    /// Addresses of the daemons that a rollout waits for.
    std::vector<std::string> daemons_;
    std::string file_;
    std::string keyFile_;
    std::string outFile_;
    std::string operator_;
    std::string name_;
    std::uint64_t version_ = 0;
    std::uint64_t count_ = 20;
    std::int64_t timeoutMs_ = 15'000;
    bool json_ = false;
};

int printResult(const AdminCallResult &result)
{
    const bool ok = result.status_ >= 200 && result.status_ < 300;
    fmt::print(ok ? stdout : stderr, "{}\n", result.body_);
    if (ok)
        return ExitOk;
    return result.status_ == 0 || result.status_ == 503 ? ExitUnavailable : ExitRefused;
}

/// Runs a command and prints its error if it fails.
int runCommand(const std::function<Result<int>()> &command)
{
    return boost::leaf::try_handle_all(
        command,
        [](const Error &error) {
            fmt::print(stderr, "{}: {}\n", error.id_, error.message_);
            return 1;
        },
        [] {
            fmt::print(stderr, "internal error; report the error\n");
            return 1;
        });
}

Result<int> keygen()
{
    BOOST_LEAF_AUTO(keys, generateKeyPair());
    fmt::print("public {}\nprivate {}\n", keys.publicKey_, keys.privateKey_);
    return 0;
}

Result<Submission> signFile(const Options &options)
{
    std::string key = readFile(options.keyFile_);
    key.erase(key.find_last_not_of(" \n\r") + 1);
    return signBundle(readFile(options.file_), BundleVersion {options.version_},
                      OperatorId {options.operator_}, key);
}

Result<int> signToFile(const Options &options)
{
    BOOST_LEAF_AUTO(submission, signFile(options));
    std::ofstream(options.outFile_, std::ios::binary) << formatSubmission(submission);
    fmt::print("signed version {} with {} parts; submit it with tamarackctl bundle submit\n",
               options.version_, submission.parts_.size());
    return ExitOk;
}

/// Signs and submits the file. Without a key, the file must already be a signed submission.
Result<int> submit(const Options &options)
{
    if (options.keyFile_.empty())
        return printResult(
            callAdmin(options.target_, "POST", "/v1/bundle", readFile(options.file_)));
    BOOST_LEAF_AUTO(submission, signFile(options));
    return printResult(
        callAdmin(options.target_, "POST", "/v1/bundle", formatSubmission(submission)));
}

int showRollout(const Options &options)
{
    std::vector<AdminTarget> daemons;
    for (const std::string &address : options.daemons_)
        daemons.push_back(AdminTarget {address, options.target_.token_});
    const BundleVersion version {options.version_};
    const std::vector<RolloutRow> rows
        = awaitRollout(daemons, version, Millis {options.timeoutMs_});
    fmt::print("{}", options.json_ ? formatRolloutJson(rows, version) : formatRollout(rows));
    const bool complete
        = std::all_of(rows.begin(), rows.end(), [](const RolloutRow &row) { return row.reached_; });
    if (!complete)
        fmt::print(stderr,
                   "version {} has not been applied by every daemon; see the table and the "
                   "daemons' logs (the daemons keep retrying)\n",
                   options.version_);
    return complete ? ExitOk : ExitIncomplete;
}

Result<int> rollout(const Options &options)
{
    Options first = options;
    first.target_.address_ = options.daemons_.front();
    BOOST_LEAF_AUTO(submitted, submit(first));
    return submitted == ExitOk ? showRollout(options) : submitted;
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
    command->add_option("id", options.name_, "id of the budget or request")->required();
    command->callback([&options, &exitCode, path] {
        exitCode = printResult(callAdmin(options.target_, "GET", path + options.name_, ""));
    });
}

void addDaemons(CLI::App &command, Options &options)
{
    command.add_option("--admin", options.daemons_, "IP:port of each daemon's admin listener")
        ->required();
    command.add_option("--token", options.target_.token_, "operators' token")
        ->envname("TAMARACK_TOKEN")
        ->required();
    command.add_option("--timeout-ms", options.timeoutMs_, "maximum time to wait for the daemons");
    command.add_flag("--json", options.json_, "print JSON");
}

void addSigning(CLI::App &command, Options &options)
{
    command.add_option("file", options.file_)->required()->check(CLI::ExistingFile);
    CLI::Option *version
        = command.add_option("--version", options.version_,
                             "version of the new bundle; must be one above the accepted version");
    CLI::Option *signer = command.add_option("--operator", options.operator_, "operator id");
    command
        .add_option("--key", options.keyFile_,
                    "file with the private key; required by sign. Without it, submit and "
                    "rollout expect a signed file")
        ->check(CLI::ExistingFile)
        ->needs(version)
        ->needs(signer);
}

void addBundleCommands(CLI::App &app, Options &options, int &exitCode)
{
    CLI::App *bundle = app.add_subcommand("bundle", "check, sign, submit and roll out bundles");
    bundle->require_subcommand(1);
    CLI::App *checkCommand = bundle->add_subcommand("check", "check a bundle document");
    checkCommand->add_option("file", options.file_)->required()->check(CLI::ExistingFile);
    checkCommand->callback([&] { exitCode = runCommand([&options] { return check(options); }); });
    CLI::App *signCommand = bundle->add_subcommand("sign", "sign a bundle without submitting it");
    addSigning(*signCommand, options);
    signCommand->add_option("--out", options.outFile_, "file for the signed bundle")->required();
    signCommand->callback(
        [&] { exitCode = runCommand([&options] { return signToFile(options); }); });
    CLI::App *submitCommand = bundle->add_subcommand("submit", "submit a bundle");
    addTarget(*submitCommand, options);
    addSigning(*submitCommand, options);
    submitCommand->callback([&] { exitCode = runCommand([&options] { return submit(options); }); });
    CLI::App *rolloutCommand
        = bundle->add_subcommand("rollout", "submit a bundle and wait for all daemons");
    addDaemons(*rolloutCommand, options);
    addSigning(*rolloutCommand, options);
    rolloutCommand->get_option("--version")->required();
    rolloutCommand->callback(
        [&] { exitCode = runCommand([&options] { return rollout(options); }); });
    CLI::App *statusCommand
        = bundle->add_subcommand("status", "show which daemons have applied a version");
    addDaemons(*statusCommand, options);
    statusCommand->add_option("--version", options.version_, "version to wait for")->required();
    statusCommand->callback([&] { exitCode = showRollout(options); });
    CLI::App *historyCommand = bundle->add_subcommand("history", "show the accepted versions");
    addTarget(*historyCommand, options);
    historyCommand->add_option("--count", options.count_, "number of versions");
    historyCommand->callback([&] {
        exitCode = printResult(callAdmin(options.target_, "GET",
                                         fmt::format("/v1/bundle/history?count={}", options.count_),
                                         ""));
    });
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
        [&] { exitCode = printResult(callAdmin(options.target_, "GET", "/v1/status", "")); });
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
