//! Nodes as processes.

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

/// A node's process, and what is needed to start it again.
#[derive(Debug)]
pub struct NodeProcess {
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Mutex<Option<Child>>,
}

impl NodeProcess {
    /// Writes the settings of a node into `folder`, in which its log is kept too.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn new(program: &Path, folder: &Path, settings: &NodeSettings) -> io::Result<Self> {
        let settings_file = folder.join(format!("{}.conf", settings.name));
        fs::write(&settings_file, settings.text())?;
        Ok(Self {
            program: program.into(),
            settings_file,
            log_file: folder.join(format!("{}.log", settings.name)),
            child: Mutex::default(),
        })
    }

    /// Starts the process, unless it runs.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub fn start(&self) -> io::Result<()> {
        let mut child = lock(&self.child);
        let is_running = match child.as_mut() {
            Some(child) => child.try_wait()?.is_none(),
            None => false,
        };
        if is_running {
            return Ok(());
        }
        *child = Some(
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

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let mut child = lock(&self.child);
        // Only a child that was not waited for still has its id.
        if let Some(child) = child.as_mut()
            && matches!(child.try_wait(), Ok(None))
            && let Ok(id) = i32::try_from(child.id())
        {
            // A process that has just ended needs no signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns how the process ended, once it has.
    pub fn ended(&self) -> Option<ExitStatus> {
        let mut child = lock(&self.child);
        child.as_mut()?.try_wait().ok().flatten()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(child) = lock(&self.child).as_mut() {
            // It may have ended by itself.
            drop(child.kill());
            drop(child.wait());
        }
    }
}
