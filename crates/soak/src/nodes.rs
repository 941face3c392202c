//! Nodes that run as processes.

use {
    crate::lock,
    lynxwheel_platform_standin::NodeSettings,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::{self, File, OpenOptions},
        io,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::Mutex,
    },
};

/// A node's process, with what is needed to restart it.
#[derive(Debug)]
pub struct NodeProcess {
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    process: Mutex<Option<Child>>,
}

impl NodeProcess {
    /// Writes the settings of a node to `directory`, which will also hold its log.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn new(program: &Path, directory: &Path, settings: &NodeSettings) -> io::Result<Self> {
        let settings_file = directory.join(format!("{}.conf", settings.name));
        fs::write(&settings_file, settings.text())?;
        Ok(Self {
            program: program.into(),
            settings_file,
            log_file: directory.join(format!("{}.log", settings.name)),
            process: Mutex::default(),
        })
    }

    /// Starts the process unless it is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start(&self) -> io::Result<()> {
        let mut process = lock(&self.process);
        let is_running = match process.as_mut() {
            Some(process) => process.try_wait()?.is_none(),
            None => false,
        };
        if is_running {
            return Ok(());
        }
        *process = Some(
            Command::new(&self.program)
                .arg("serve")
                .arg("--settings")
                .arg(&self.settings_file)
                .stdin(Stdio::null())
                .stdout(self.log()?)
                .stderr(self.log()?)
                .spawn()?,
        );
        Ok(())
    }

    fn log(&self) -> io::Result<File> {
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_file)
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&self, signal: Signal) {
        let mut process = lock(&self.process);
        // The id of a process that was waited for may belong to another process.
        if let Some(process) = process.as_mut()
            && matches!(process.try_wait(), Ok(None))
            && let Ok(id) = i32::try_from(process.id())
        {
            // The signal fails if the process has just exited.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns the id of the process, or `None` if it was never started.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        lock(&self.process).as_ref().map(Child::id)
    }

    /// Returns the exit status of the process, or `None` while it is running.
    #[must_use]
    pub fn exit_status(&self) -> Option<ExitStatus> {
        let mut process = lock(&self.process);
        process.as_mut()?.try_wait().ok().flatten()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(process) = lock(&self.process).as_mut() {
            // Killing fails if the process has already exited.
            drop(process.kill());
            drop(process.wait());
        }
    }
}
