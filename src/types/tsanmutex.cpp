// Debian's Abseil is built without ThreadSanitizer, which therefore reports false races on all data guarded by an
// absl::Mutex. The linker redirects the lock functions to these wrappers, which report acquire and release to the sanitizer.
// An absl::Condition is evaluated inside Abseil, so its accesses remain unsynchronized for the sanitizer.
#ifdef __SANITIZE_THREAD__

// NOLINTBEGIN: names required by the linker's --wrap option and the sanitizer

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
