package duty

// Partition begins the ids of the rows that the holder of the duty commits together with
// its lease's guard, and of the lease itself: a transaction covers one partition.
const Partition = "duty|"

// LeaseName is the name of the lease whose holder calls the platform's interface, for all
// duties. One lease has one fencing number for each call, whatever the call is about.
const LeaseName = Partition + "platform"
