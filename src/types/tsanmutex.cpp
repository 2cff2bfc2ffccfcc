// Debian's Abseil is built without the thread sanitizer, which therefore reports a race for everything that an
// absl::Mutex guards. The linker redirects the lock functions to these, which state the order that the mutex gives.
// Conditions (absl::Condition) are evaluated inside Abseil and stay unknown to the sanitizer.
#ifdef __SANITIZE_THREAD__

// NOLINTBEGIN: the names are fixed by the linker's --wrap option and by the sanitizer.

extern "C" {
void __tsan_acquire(void *address);
void __tsan_release(void *address);

void __real__ZN4absl7debian35Mutex4LockEv(void *mutex);
void __real__ZN4absl7debian35Mutex10ReaderLockEv(void *mutex);
void __real__ZN4absl7debian35Mutex6UnlockEv(void *mutex);
void __real__ZN4absl7debian35Mutex12ReaderUnlockEv(void *mutex);

void __wrap__ZN4absl7debian35Mutex4LockEv(void *mutex)
{
    __real__ZN4absl7debian35Mutex4LockEv(mutex);
    __tsan_acquire(mutex);
}

void __wrap__ZN4absl7debian35Mutex10ReaderLockEv(void *mutex)
{
    __real__ZN4absl7debian35Mutex10ReaderLockEv(mutex);
    __tsan_acquire(mutex);
}

void __wrap__ZN4absl7debian35Mutex6UnlockEv(void *mutex)
{
    __tsan_release(mutex);
    __real__ZN4absl7debian35Mutex6UnlockEv(mutex);
}

void __wrap__ZN4absl7debian35Mutex12ReaderUnlockEv(void *mutex)
{
    __tsan_release(mutex);
    __real__ZN4absl7debian35Mutex12ReaderUnlockEv(mutex);
}
}
// NOLINTEND

#endif
