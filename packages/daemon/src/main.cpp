// Entry point of auburnd, the daemon that forwards requests of callers to backend servers.

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "auburn/daemon/daemon.h"
#include "auburn/daemon/settings.h"
#include "platform/platformdaemon.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace {

// Exit code if the daemon cannot start, for example because an address is in use.
constexpr int kStartFailedExitCode = 1;

// Blocks SIGTERM and SIGINT in all threads and returns a signalfd that delivers them.
int openStopSignalDescriptor()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

int runDaemon(int argc, char **argv, const auburn::Settings &settings)
{
    const int signals = openStopSignalDescriptor();
    QCoreApplication application(argc, argv);
    const std::unique_ptr<auburn::Daemon> daemon = auburn::Daemon::make(settings);
    if (!daemon) {
        auburn::logEvent(auburn::LogLevel::Error, "start_failed",
                         { { "reason", auburn::lastError() } });
        return kStartFailedExitCode;
    }
    QSocketNotifier notifier(signals, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [&] {
        signalfd_siginfo info;
        while (read(signals, &info, sizeof(info)) > 0) {
        }
        daemon->stop([] { QCoreApplication::quit(); });
    });
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (const auto path = auburn::platform::settingsPath())
        return auburn::platform::runPlatformDaemon(*path, arguments);
    const auto result = auburn::readSettings(arguments, auburn::processEnvironment);
    if (const auto *exit = std::get_if<auburn::SettingsExit>(&result)) {
        (exit->code == 0 ? std::cout : std::cerr) << exit->text;
        return exit->code;
    }
    const auto &settings = std::get<auburn::Settings>(result);
    auburn::initialiseLog(settings.logLevel, settings.id);
    return runDaemon(argc, argv, settings);
}
