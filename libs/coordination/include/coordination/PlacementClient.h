#pragma once

#include "balance/Scheduler.h"
#include "coordination/HostIdentity.h"
#include "coordination/KeyPlanCache.h"
#include "coordination/RoundTripTime.h"
#include "edge/Placer.h"
#include "fleet/Evacuations.h"
#include "fleet/LeavingServers.h"

#include <deque>
#include <functional>
#include <map>
#include <peer.pb.h>
#include <string>

namespace sequoia::coordination {

//! A placement that was not used, since its server is listed under another service than the job's.
struct Misplacement {
    std::uint64_t job = 0;
    std::string service; //!< of the job
    std::string server;
    std::string listedService; //!< of the server
    std::uint64_t term = 0; //!< of the coordinator that decided; 0 if this host decided on its own
};

//! Requests the placement of jobs from the coordinator. While the coordinator does not respond, places jobs locally by
//! the last known key plans.
//!
//! Tolerates message loss: an unacknowledged job is resubmitted under its number, and job ends are repeated in the
//! datagrams that follow.
class PlacementClient final : public edge::Placer {
public:
    //! Requests that the messages of takeMessages() be sent soon.
    using ScheduleSend = std::function<void()>;

    PlacementClient(const Clock& clock, balance::SchedulerOptions schedulerOptions, ScheduleSend scheduleSend);
    ~PlacementClient() override;

    void submit(const balance::Job& job, edge::PlacementObserver& observer) override;
    void withdraw(std::uint64_t job) override;
    void reportEnd(std::uint64_t job, balance::JobResult result, Duration elapsed,
        const std::optional<balance::ServerReport>& load = std::nullopt) override;
    bool reportNotice(std::uint64_t job, const balance::ServerNotice& notice) override;

    //! Makes hosts prefer different servers among equal ones while they place jobs locally.
    void setSpreadSeed(std::uint64_t seed) { this->scheduler.setSpreadSeed(seed); }
    void setRetryOptions(const balance::SchedulerOptions& options) { this->scheduler.setRetryOptions(options); }
    void setServers(const fleet::ServerMap& servers);
    void setEvacuations(const fleet::EvacuationState& state);
    //! Whether this host's list of servers is newer than the coordinator's, so that servers that it lacks are gone.
    void preferOwnList(bool prefer) { this->prefersOwnList = prefer; }
    //! Submits the jobs that wait at this host to the coordinator, which may have become able to place them.
    void handWaitingJobsOver();
    //! Services whose cold servers get no jobs that this host places locally.
    void setColdLimits(const balance::ColdLimitsByService& limits)
    {
        this->scheduler.setColdLimits(limits, true, this->clock.now());
    }
    //! Number of hosts that share the retry budget while each of them places its jobs locally. The times after which a
    //! job is submitted again or placed locally depend on it, too.
    void setHostCount(std::uint32_t hosts);
    //! Places new jobs through the coordinator of the term, and resubmits the jobs that wait at one of another term.
    void onCoordinatorContact(std::uint64_t term);
    //! Sets the number that the coordinator gave this host. A new number within a term means that the coordinator has
    //! forgotten the jobs of this host.
    void setHostNumber(std::uint64_t number);
    void onCoordinatorLost();
    //! Processes the placements, refusals and acknowledgements in a datagram of the coordinator, unless they are for
    //! another process. `number` is this host's number. Called after onCoordinatorContact() for the datagram's term.
    void receive(const wire::Datagram& datagram, Addressee addressee, std::uint64_t number);
    //! Processes them without a look at whom they are for.
    void receive(const wire::Datagram& datagram);
    void tick();

    //! Moves the pending messages for the coordinator into the datagram. Returns whether there are any.
    bool takeMessages(wire::Datagram& datagram);
    //! Fills in the loads of the periodic report.
    void fillReport(wire::Report& report) const;
    //! Adds what servers have announced and the coordinator does not seem to know, since earlier messages may have been
    //! lost.
    void fillNotices(wire::Datagram& datagram) const;

    KeyPlanCache& plans() { return this->planCache; }
    std::size_t waitingJobs() const { return this->pendingJobs.size(); }
    bool usesCoordinator() const { return this->coordinatorActive; }
    //! Number of placements that were not used for another service's server.
    std::uint64_t misplacedJobs() const { return this->misplacedCount; }
    //! Returns the latest of them since the last call, for the log.
    std::vector<Misplacement> takeMisplacements();

private:
    struct PendingJob {
        balance::Job job;
        edge::PlacementObserver* observer = nullptr;
        bool atCoordinator = false;
        bool acknowledged = false;
        TimePoint firstSent {};
        TimePoint lastSent {};
        unsigned resendCount = 0;
        std::string declinedServer; //!< a placement on this server was not used
        std::uint32_t submission = 0; //!< how often this host has taken the job back from the coordinator
    };

    void sendSubmit(PendingJob& entry);
    void recordReply(const PendingJob& entry);
    void submitLocally(std::uint64_t number);
    void applyDecisions(const std::vector<balance::SchedulingDecision>& decisions);
    void resubmitAll();
    void onPlacementReceived(const wire::Placed& message);
    void onJobPlaced(
        std::uint64_t number, const fleet::ServerInstance& server, const std::string& address, bool byCoordinator);
    bool isOfOtherService(const fleet::ServerInstance& server, const std::string& service) const;
    //! Records a placement on a server of another service, and finds another decision for the job.
    void refuseMisplacement(std::uint64_t number, const fleet::ServerInstance& server, bool byCoordinator);
    bool mustDecline(const fleet::ServerInstance& server) const;
    bool isEvacuated(const std::string& server) const;
    bool isGone(const fleet::ServerInstance& server) const;
    void declinePlacement(PendingJob& entry, const fleet::ServerInstance& server);
    void forgetCoordinatorJobs();
    //! Numbers of running jobs by server that the coordinator of this term has not placed itself.
    std::map<std::string, std::uint32_t> unmanagedJobs() const;
    wire::ServerNotice noticeOf(const fleet::ServerInstance& server) const;
    fleet::ServerInstance instanceOf(const std::string& server) const;
    void applyServers();
    std::string addressOf(const std::string& server) const;
    void onJobRefused(std::uint64_t number, balance::RefusalReason reason, Duration retryAfter);
    void queueJobEnd(std::uint64_t number, std::uint32_t submission, balance::JobResult result, Duration elapsed,
        const std::optional<balance::ServerReport>& load = std::nullopt);
    void queueWithdrawal(std::uint64_t number, std::uint32_t submission);

    //! This host's number in its own scheduler.
    static constexpr std::uint64_t localHost = 0;

    const Clock& clock;
    ScheduleSend scheduleSend;
    KeyPlanCache planCache;
    balance::Scheduler scheduler;
    fleet::ServerMap listedServers; //!< as they were set
    fleet::ServerMap servers; //!< with the leaving ones marked as draining
    fleet::LeavingServers leavingServers;
    fleet::Evacuations evacuations;
    bool prefersOwnList = false;
    std::map<fleet::ServerInstance, TimePoint> pauses; //!< that servers asked this host for, with their ends
    Duration resendInterval {};
    Duration replyTimeout {};
    std::uint64_t hostNumber = 0;
    bool coordinatorActive = false;
    TimePoint lastCoordinatorContact {};
    RoundTripTime roundTripTime; //!< of submissions to the coordinator
    std::map<std::uint64_t, PendingJob> pendingJobs;
    struct PlacedJob {
        fleet::ServerInstance server;
        std::uint64_t term = 0; //!< term of the coordinator that placed the job; 0 for a local placement
        std::uint64_t hostNumber = 0; //!< this host's number when the job was placed
        std::uint32_t submission = 0; //!< under which it was placed
    };
    std::map<std::uint64_t, PlacedJob> placedJobs;
    std::uint64_t term = 0;
    std::uint64_t misplacedCount = 0;
    std::vector<Misplacement> misplacements; //!< not logged yet
    std::vector<std::uint64_t> misplacedLocally; //!< jobs whose slots in this host's scheduler are not free yet
    bool mustSendLoads = false; //!< the coordinator does not know the jobs that run
    wire::Datagram outgoing;
    bool hasOutgoing = false;
    TimePoint lastDatagramAt {};
    //! Job ends that are repeated in later datagrams, each with the time at which it was queued.
    std::deque<std::pair<TimePoint, wire::JobEnd>> recentJobEnds;
};

}
